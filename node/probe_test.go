package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/config/static"
)

// freeAddress returns a loopback address that was free at the time of the call.
func freeAddress(c *qt.C) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	return ln.Addr().String()
}

// runPair runs two nodes in different availability zones in this process.
func runPair(c *qt.C, cfg *dynamic.Config) []*Node {
	var seeds []static.Seed
	for i, zone := range []string{"kandy", "nuwara"} {
		seeds = append(seeds, static.Seed{
			Name: fmt.Sprintf("node-%d", i+1), AvailabilityZone: zone,
			PeerAddress: freeAddress(c), ControlAddress: freeAddress(c),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	var nodes []*Node
	for _, s := range seeds {
		n, err := New(&static.Settings{
			Name: s.Name, AvailabilityZone: s.AvailabilityZone, Region: "test",
			CallerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
			PeerAddress: s.PeerAddress, ControlAddress: s.ControlAddress,
			SharedKey: "a key for tests only", Seeds: seeds, EventRing: 64,
			DrainTimeout: time.Second,
		}, cfg, hclog.NewNullLogger())
		c.Assert(err, qt.IsNil)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.Run(ctx)
		}()
		c.Cleanup(func() {
			cancel()
			<-done
		})
		nodes = append(nodes, n)
	}
	return nodes
}

// A requested probe is sent by a node of another availability zone, and such a
// node probes configured targets only.
func TestProbeFromOtherZone(t *testing.T) {
	c := qt.New(t)
	userAgents := make(chan string, 16)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		userAgents <- r.UserAgent()
	}))
	defer srv.Close()
	src := fmt.Sprintf("[service larder]\n[target t1]\nservice = larder\naddress = %s\navailability_zone = kandy\n", srv.Listener.Addr())
	cfg, problems := dynamic.Parse("test.ini", []byte(src))
	c.Assert(problems, qt.HasLen, 0)
	nodes := runPair(c, cfg)
	for len(nodes[0].otherZoneMembers()) == 0 || nodes[1].routes.Load().targets["t1"] == nil {
		time.Sleep(5 * time.Millisecond)
	}

	var reply probeReply
	ok := false
	for !ok {
		reply, ok = nodes[0].probeFromOtherZone("larder", "t1")
	}
	c.Check(reply.Reachable, qt.IsTrue)
	c.Check(<-userAgents, qt.Equals, "filbertmill-probe node-2")

	_, ok = nodes[0].probeFromOtherZone("larder", "unknown")
	c.Check(ok, qt.IsFalse)
}
