package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/platform"
)

// newTestNode returns a node that cannot reach a store and whose caller listener is
// open.
func newTestNode(t *testing.T) *Node {
	t.Helper()
	n, err := New(&platform.Settings{
		Name: "host-1", AvailabilityZone: "kandy",
		CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", ControlAddress: "127.0.0.1:0",
		StoreAddress: "127.0.0.1:1",
		Bounds:       platform.Bounds{Shutdown: 6 * time.Second},
	}, hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	return n
}

// TestFailedListenerLeadsToADrain guards against a process that exits immediately,
// with requests in flight, because one of its listeners fails.
func TestFailedListenerLeadsToADrain(t *testing.T) {
	n := newTestNode(t)
	ended := make(chan error, 1)
	go func() { ended <- n.Run(t.Context()) }()
	c, err := net.Dial("tcp", n.callers.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()

	qt.Assert(t, n.control.Close(), qt.IsNil)
	time.Sleep(time.Second)
	resp, err := http.Get("http://" + n.callers.Addr().String() + "/")
	qt.Assert(t, err, qt.IsNil, qt.Commentf("callers are served until the balancer sends them to other nodes"))
	qt.Check(t, resp.Body.Close(), qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("there is no configuration"))
	qt.Check(t, resp.Close, qt.IsTrue)
	qt.Check(t, n.isReady(), qt.IsFalse)
	select {
	case err = <-ended:
		t.Fatalf("exited immediately: %v", err)
	default:
	}
	qt.Check(t, <-ended, qt.ErrorMatches, "a listener ended: .*")
}
