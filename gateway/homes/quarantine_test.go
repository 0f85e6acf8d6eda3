package homes

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/outcome"
	"filbertmill.example/platform"
	"filbertmill.example/poison"
	"filbertmill.example/pool"
	"filbertmill.example/retry"
)

// changingRelays is a list of relays that a test replaces.
type changingRelays struct{ list []replica.Node }

func (r *changingRelays) Relays() []replica.Node { return r.list }
func (r *changingRelays) Suspect(string)         {}

// quarantineFleet is a fleet whose nodes are started one by one.
type quarantineFleet struct {
	t      *testing.T
	relays *changingRelays
	sent   uint64
	loops  int
}

// startLoop starts a Loop. Its targets are new ones: those of before have crashed.
func (f *quarantineFleet) startLoop() *balance.Loop {
	f.loops++
	l := balance.New(balance.Config{Log: hclog.NewNullLogger()})
	go l.Run(f.t.Context())
	view := &replica.View{Config: &dynamic.Config{}, Targets: map[string][]platform.Target{}}
	for i := range 20 {
		view.Targets["s"] = append(view.Targets["s"], platform.Target{ID: fmt.Sprintf("t%d-%d", f.loops, i), Service: "s", Slots: 4})
	}
	l.SetView(view)
	return l
}

// startHome makes a new home the only one.
func (f *quarantineFleet) startHome(name string) {
	tr := newTransport(f.t, name)
	Serve(f.startLoop(), tr)
	f.relays.list = []replica.Node{listen(f.t, tr, name)}
}

func (f *quarantineFleet) startNode(name string) *Client {
	return NewClient(Config{
		Self: name, Relays: f.relays, Transport: newTransport(f.t, name), Fleet: staticFleet(1), Retries: retry.Bound{Window: time.Second},
		Shared: f.startLoop(), Fallback: f.startLoop(), Listed: func(string, string) bool { return true }, Log: hclog.NewNullLogger(),
	})
}

// send sends a request through a node. If it gets a target, the request crashes the target
// or is answered.
func (f *quarantineFleet) send(node *Client, fingerprint poison.Fingerprint, crashes bool) outcome.Reason {
	f.t.Helper()
	f.sent++
	a := attempt(f.sent, balance.FirstAttempt)
	a.Fingerprint = fingerprint
	decision, err := node.Acquire(f.t.Context(), a)
	qt.Assert(f.t, err, qt.IsNil)
	if decision.Target != "" {
		r := balance.Report{ID: a.ID, Service: "s", Verdict: pool.VerdictAnswered, Latency: time.Millisecond}
		if crashes {
			r.Verdict, r.Crashed = pool.VerdictReset, decision.SuspectedPoison
		}
		decision.Finish(r)
	}
	return decision.Reason
}

// TestQuarantineOutlivesItsHomes guards against a request that crashes further targets after
// each change of the home, because only the home knew that it does.
func TestQuarantineOutlivesItsHomes(t *testing.T) {
	const bad, good = poison.Fingerprint(7), poison.Fingerprint(8)
	c := qt.New(t)
	f := &quarantineFleet{t: t, relays: &changingRelays{}}
	f.startHome("h1")
	first, second := f.startNode("n1"), f.startNode("n2")
	for i := range 4 {
		if reason := f.send(first, bad, true); i == 3 {
			c.Assert(reason, qt.Equals, outcome.ReasonPoison)
		}
		time.Sleep(20 * time.Millisecond) // reports of ends have no answer
	}

	f.startHome("h2")
	c.Check(f.send(first, bad, true), qt.Equals, outcome.ReasonPoison, qt.Commentf("the next home"))
	c.Check(f.send(second, good, false), qt.Equals, outcome.Reason(""))

	f.startHome("h3")
	c.Check(f.send(second, bad, true), qt.Equals, outcome.ReasonPoison, qt.Commentf("a home that only a node could tell to which the home before had told it"))
	third := f.startNode("n3")
	c.Check(f.send(third, bad, true), qt.Equals, outcome.ReasonPoison, qt.Commentf("a node that has just started"))

	f.relays.list = nil
	c.Check(f.send(third, bad, true), qt.Equals, outcome.ReasonPoison, qt.Commentf("a node without a home"))
	c.Check(f.send(third, good, false), qt.Equals, outcome.Reason(""))
}

// TestQuarantineReachesAHomeWithoutRequests guards against a home that gets its first
// request from a node that has just started, while the nodes that know better are idle.
func TestQuarantineReachesAHomeWithoutRequests(t *testing.T) {
	const bad = poison.Fingerprint(7)
	f := &quarantineFleet{t: t, relays: &changingRelays{}}
	f.startHome("h1")
	knows := f.startNode("n1")
	for range 4 {
		f.send(knows, bad, true)
		time.Sleep(20 * time.Millisecond)
	}
	f.startHome("h2")
	go knows.Run(t.Context(), func() []string { return []string{"s"} })
	time.Sleep(2 * permitInterval)
	qt.Check(t, f.send(f.startNode("n2"), bad, true), qt.Equals, outcome.ReasonPoison)
}

// TestCrashesAreHandedOnBeforeTheQuarantine guards against a request that crashes targets
// under one home after another, none of which sees enough crashes to refuse it.
func TestCrashesAreHandedOnBeforeTheQuarantine(t *testing.T) {
	const bad, cleared = poison.Fingerprint(7), poison.Fingerprint(9)
	c := qt.New(t)
	f := &quarantineFleet{t: t, relays: &changingRelays{}}
	f.startHome("h1")
	node := f.startNode("n1")
	go node.Run(t.Context(), func() []string { return []string{"s"} })
	for _, fingerprint := range []poison.Fingerprint{bad, bad, cleared, cleared} {
		c.Assert(f.send(node, fingerprint, true), qt.Equals, outcome.Reason(""))
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * permitInterval)

	// The node knows of one crash under each, and tells the next home.
	f.startHome("h2")
	time.Sleep(2 * permitInterval)
	c.Check(f.send(node, cleared, false), qt.Equals, outcome.Reason(""))
	time.Sleep(20 * time.Millisecond)
	c.Check(f.send(node, bad, true), qt.Equals, outcome.Reason(""), qt.Commentf("the second crash"))
	time.Sleep(20 * time.Millisecond)
	c.Check(f.send(node, bad, true), qt.Equals, outcome.ReasonPoison)

	// What an answer has cleared does not come back.
	time.Sleep(2 * permitInterval)
	f.startHome("h3")
	time.Sleep(2 * permitInterval)
	for range 2 {
		c.Check(f.send(node, cleared, true), qt.Equals, outcome.Reason(""))
		time.Sleep(20 * time.Millisecond)
	}
	c.Check(f.send(node, cleared, false), qt.Equals, outcome.Reason(""))
}
