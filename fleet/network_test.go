package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/fleet/control"
	"filbertmill.example/platform"
	"filbertmill.example/testbed/memory"
)

// network connects Agents in memory, in virtual time. Links can be cut in one
// direction only. A message on a cut link is lost, as in a network partition.
type network struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	cut       func(from, to string) bool
	messages  int
	bytes     int
}

// endpoint is the Transport of one node in a network.
type endpoint struct {
	net      *network
	name     string
	handlers map[control.Kind]control.Handler
}

const oneWayDelay = time.Millisecond

var errLost = errors.New("message lost")

func newNetwork() *network { return &network{endpoints: make(map[string]*endpoint)} }

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// counts returns the number of messages sent and the bytes of their bodies.
func (n *network) counts() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages, n.bytes
}

func (p *endpoint) Handle(kind control.Kind, h control.Handler) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.handlers[kind] = h
}

func (p *endpoint) Send(ctx context.Context, to control.Peer, kind control.Kind, msg any) error {
	go func() { _ = p.Call(context.WithoutCancel(ctx), to, kind, msg, nil) }()
	return nil
}

func (p *endpoint) Call(ctx context.Context, to control.Peer, kind control.Kind, msg, reply any) error {
	body, err := cbor.Marshal(msg)
	if err != nil {
		return err
	}
	h, err := p.net.transmit(ctx, p.name, to.ControlAddress, kind, len(body))
	if err != nil {
		return err
	}
	answer, err := h(ctx, p.name, body)
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(answer)
	if err != nil {
		return err
	}
	if _, err := p.net.transmit(ctx, to.Name, p.name, kind, len(data)); err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	return control.Unmarshal(data, reply)
}

// transmit sends one message to an address, which is the node's name in this
// network, and returns the receiver's handler.
func (n *network) transmit(ctx context.Context, from, to string, kind control.Kind, size int) (control.Handler, error) {
	time.Sleep(oneWayDelay)
	n.mu.Lock()
	n.messages++
	n.bytes += size
	p := n.endpoints[to]
	lost := n.cut != nil && n.cut(from, to)
	var h control.Handler
	if p != nil {
		h = p.handlers[kind]
	}
	n.mu.Unlock()
	if lost {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(10 * time.Second):
		}
		return nil, errLost
	}
	if p == nil {
		return nil, errors.Newf("connection to %s refused", to)
	}
	if h == nil {
		// The sender of a reply may have no handler for its kind.
		h = func(context.Context, string, []byte) (any, error) { return nil, nil }
	}
	return h, nil
}

// testFleet is a fleet of Agents with a store and a host list in memory.
type testFleet struct {
	t     *testing.T
	net   *network
	store *memory.Store
	hosts *memory.HostList
	nodes map[string]*testNode
}

type testNode struct {
	agent  *Agent
	cancel context.CancelFunc
	done   chan struct{}
	// history holds the revisions that came into force, in order.
	mu      sync.Mutex
	history []int64
}

func newTestFleet(t *testing.T) *testFleet {
	return &testFleet{
		t:     t,
		net:   newNetwork(),
		store: memory.NewStore(),
		hosts: memory.NewHostList(),
		nodes: make(map[string]*testNode),
	}
}

func testPeer(i int) control.Peer {
	name := fmt.Sprintf("node-%02d", i)
	return control.Peer{
		Name:             name,
		AvailabilityZone: fmt.Sprintf("zone-%d", i%4),
		Region:           "region",
		PeerAddress:      name,
		ControlAddress:   name,
	}
}

func testParse(d Document) (*dynamic.Config, error) {
	if string(d.Text) == "invalid" {
		return nil, errors.New("invalid")
	}
	return &dynamic.Config{Revision: dynamic.Revision(d.Version.Revision), ChangeID: d.Version.ChangeID}, nil
}

func testServices(*dynamic.Config) []Load {
	return []Load{{"bookings", 16}, {"statusdesk", 16}, {"archive", 24}}
}

// start starts node i with nodes 0 and 1 as its seeds.
func (f *testFleet) start(i int) *testNode {
	self := testPeer(i)
	p := &endpoint{net: f.net, name: self.Name, handlers: make(map[control.Kind]control.Handler)}
	n := &testNode{done: make(chan struct{})}
	n.agent = NewAgent(Config{
		Self:      self,
		Seeds:     []control.Peer{testPeer(0), testPeer(1)},
		Transport: p,
		Store:     f.store,
		Hosts:     f.hosts,
		Parse:     testParse,
		ListLoads: testServices,
		Seed:      uint64(i),
		Apply: func(c *dynamic.Config) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.history = append(n.history, int64(c.Revision))
		},
	}, time.Now())
	f.net.mu.Lock()
	f.net.endpoints[self.Name] = p
	f.net.mu.Unlock()
	ctx, cancel := context.WithCancel(f.t.Context())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		n.agent.Run(ctx)
	}()
	f.nodes[self.Name] = n
	return n
}

// crash ends a node without announcing it. Later connections to it are refused.
func (f *testFleet) crash(i int) {
	name := testPeer(i).Name
	f.net.mu.Lock()
	delete(f.net.endpoints, name)
	f.net.mu.Unlock()
	f.nodes[name].cancel()
	<-f.nodes[name].done
	delete(f.nodes, name)
}

func (f *testFleet) stop() {
	for i := range 100 {
		if _, ok := f.nodes[testPeer(i).Name]; ok {
			f.crash(i)
		}
	}
	// Wait for the messages in flight, which end by their own timeouts.
	time.Sleep(time.Minute)
}

// put writes a configuration into the store, as an operator does.
func (f *testFleet) put(revision int64, text string) {
	f.t.Helper()
	d := Document{Version: Version{revision, fmt.Sprintf("change-%d", revision)}, Text: []byte(text)}
	data, err := d.Encode()
	qt.Assert(f.t, err, qt.IsNil)
	e, err := f.store.Get(f.t.Context(), ConfigurationKey)
	if err != nil {
		qt.Assert(f.t, errors.Is(err, platform.ErrNotFound), qt.IsTrue)
	}
	_, err = f.store.CompareAndSwap(f.t.Context(), ConfigurationKey, e.Revision, data, "")
	qt.Assert(f.t, err, qt.IsNil)
}

// awaitRevision waits until all nodes are ready with the revision in force, and
// returns the virtual time that passed. It fails the test after limit.
func (f *testFleet) awaitRevision(revision int64, limit time.Duration) time.Duration {
	f.t.Helper()
	return f.await(fmt.Sprintf("revision %d in force", revision), limit, func(n *testNode) bool {
		_, d := n.agent.Configuration()
		return d.Version.Revision == revision && n.agent.Ready().Ready
	})
}

// await waits until ok holds on all nodes, and returns the virtual time that
// passed. It fails the test after limit.
func (f *testFleet) await(what string, limit time.Duration, ok func(*testNode) bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for {
		missing := ""
		for name, n := range f.nodes {
			if !ok(n) {
				missing += " " + name
			}
		}
		if missing == "" {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			f.t.Fatalf("%s after %v, but not on%s", what, limit, missing)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkHistories fails the test if any node returned to an older revision.
func (f *testFleet) checkHistories() {
	f.t.Helper()
	for name, n := range f.nodes {
		n.mu.Lock()
		for i := 1; i < len(n.history); i++ {
			if n.history[i] <= n.history[i-1] {
				f.t.Errorf("%s went from revision %d to %d", name, n.history[i-1], n.history[i])
			}
		}
		n.mu.Unlock()
	}
}

// inFleet runs a test in virtual time on a fleet with revision 1 in force. It
// checks the histories of the nodes afterwards.
func inFleet(t *testing.T, nodes int, test func(t *testing.T, f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		f.put(1, "first")
		for i := range nodes {
			f.start(i)
		}
		defer f.stop()
		f.awaitRevision(1, 30*time.Second)
		f.awaitAlive(nodes, 30*time.Second)
		test(t, f)
		f.checkHistories()
	})
}

// awaitAlive waits until all nodes see the wanted number of members and avoid
// none of them.
func (f *testFleet) awaitAlive(want int, limit time.Duration) time.Duration {
	f.t.Helper()
	return f.await(fmt.Sprintf("%d members alive", want), limit, func(n *testNode) bool {
		return len(n.agent.View().Members) == want && len(n.agent.View().avoided) == 0
	})
}
