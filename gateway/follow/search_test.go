package follow

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

// silentAddress returns an address that accepts connections and never answers, like a
// host that has lost power while its connections are open.
func silentAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// TestRelayIsFoundAmongManyLostNodes guards against a node that tries dozens of lost
// candidates one after the other, and has no relay and no home meanwhile.
func TestRelayIsFoundAmongManyLostNodes(t *testing.T) {
	const lost = 30
	f := newBareFollower(t, "self", "b")
	f.cfg.Store = &slowWatchStore{delay: time.Minute}
	var items []platform.Item
	register := func(n replica.Node) {
		n.AvailabilityZone = "a"
		items = append(items, platform.Item{Key: n.Key(), Value: n.Encode(), Revision: platform.Revision(len(items) + 1)})
	}
	for i := range lost {
		register(replica.Node{Name: fmt.Sprintf("lost%d", i), ControlAddress: silentAddress(t), CPUShare: 0.8})
	}
	alive := newBareFollower(t, "alive", "a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = alive.cfg.Transport.Serve(l) }()
	register(replica.Node{Name: "alive", ControlAddress: l.Addr().String(), CPUShare: 0.2})
	f.cfg.Replica.Apply("test", items, platform.Revision(len(items)))
	go f.Run(t.Context())
	await(t, "a relay is polled", time.Second, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.feeds) > 0
	})
	f.Suspect(RankRelays(f.cfg.Replica.View().Nodes)[0].Name)
	await(t, "the node that lives is the only relay", propagationLimit, func() bool {
		relays := f.Relays()
		return len(relays) == 1 && relays[0].Name == "alive"
	})
}

// TestProbedNodeNeedNotFollowTheStore guards against calls to the store by each node
// that is probed in a search.
func TestProbedNodeNeedNotFollowTheStore(t *testing.T) {
	f := newBareFollower(t, "n0", "a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = f.cfg.Transport.Serve(l) }()
	node := newBareFollower(t, "n1", "a")
	qt.Assert(t, node.probe(t.Context(), replica.Node{Name: "n0", AvailabilityZone: "a", ControlAddress: l.Addr().String()}), qt.IsNil)
	qt.Check(t, f.lastPolled.IsZero(), qt.IsTrue)
}

// gatedListener accepts connections, and serves them once open is closed.
type gatedListener struct {
	net.Listener
	open <-chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	<-l.open
	return c, err
}

// onLine is a log output that passes on each line.
type onLine func(line string)

func (f onLine) Write(line []byte) (int, error) {
	f(string(line))
	return len(line), nil
}

// TestSlowCandidateIsUsedInTheEnd guards against nodes that disagree on the relays for
// seconds, because one took a candidate that was slow to connect for lost. The slow one
// answers as soon as the other is in use, and no earlier.
func TestSlowCandidateIsUsedInTheEnd(t *testing.T) {
	f := newBareFollower(t, "self", "b")
	f.cfg.Store = &slowWatchStore{delay: time.Minute}
	otherInUse := make(chan struct{})
	var once sync.Once
	f.cfg.Log = hclog.New(&hclog.LoggerOptions{Output: onLine(func(line string) {
		if strings.Contains(line, "relays in use") && strings.Contains(line, "rank1") {
			once.Do(func() { close(otherInUse) })
		}
	})})
	// A failed test, too, ends the connections that wait.
	t.Cleanup(func() { once.Do(func() { close(otherInUse) }) })
	alwaysOpen := make(chan struct{})
	close(alwaysOpen)
	var items []platform.Item
	for i, open := range []<-chan struct{}{otherInUse, alwaysOpen} {
		node := newBareFollower(t, fmt.Sprintf("rank%d", i), "a")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		go func() { _ = node.cfg.Transport.Serve(gatedListener{l, open}) }()
		n := replica.Node{Name: fmt.Sprintf("rank%d", i), AvailabilityZone: "a", ControlAddress: l.Addr().String(), CPUShare: float64(2 - i)}
		items = append(items, platform.Item{Key: n.Key(), Value: n.Encode(), Revision: platform.Revision(i + 1)})
	}
	f.cfg.Replica.Apply("test", items, 2)
	f.mu.Lock()
	f.searchCtx = t.Context()
	f.mu.Unlock()
	f.Suspect("rank0")
	f.mu.Lock()
	delete(f.outages, "rank0")
	f.mu.Unlock()
	inUse := func(name string) func() bool {
		return func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			relays, _ := f.candidates(time.Now())
			return len(relays) == 1 && relays[0].Name == name
		}
	}
	select {
	case <-otherInUse:
	case <-time.After(2 * probeTimeout):
		t.Fatal("the candidate that answers is not used")
	}
	await(t, "the better one that was slow is used", probeTimeout, inUse("rank0"))
}
