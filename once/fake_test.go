package once_test

import (
	"fmt"
	"slices"
	"time"

	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

var start = time.Date(2026, 7, 1, 6, 0, 0, 0, time.UTC)

// action is a message or reply in flight, or a request that waits for admission.
// The test decides when it is delivered or lost.
type action struct {
	from, to string
	deliver  func()
	lose     func()
}

// world is a fleet with one service, a store and a network that delivers nothing
// until the test asks for it.
type world struct {
	cfg     once.Config
	now     time.Time
	nodes   map[string]*fakeNode
	actions []action
	record  once.Tenure
	version once.Revision
	started uint64
	lastID  once.RequestID
	sent    map[once.RequestID]submission
	// dispatched holds when each content was last dispatched, except for requests
	// that were certainly not run.
	dispatched map[content]time.Time
	// everDispatched holds each content that was ever dispatched.
	everDispatched map[content]bool
	faults         []string
	// cancelled holds the requests whose callers left.
	cancelled map[once.RequestID]bool
}

// content identifies what a request asks for.
type content struct {
	key    once.Key
	digest once.Digest
}

// submission is a request that was submitted.
type submission struct {
	content
	request once.Request
	at      time.Time
	// dispatchedAt is when the same content was last dispatched before this
	// request was submitted; zero if it was not.
	dispatchedAt time.Time
	node         string
	answer       *once.Result
}

// fakeNode is one node. It is the Delegate of its home.
type fakeNode struct {
	w       *world
	name    string
	member  once.Member
	home    *once.Home
	witness *once.Witness
	running []once.RequestID
	leaving bool
}

func newWorld(cfg once.Config, names ...string) *world {
	w := &world{
		cfg:            cfg,
		now:            start,
		nodes:          make(map[string]*fakeNode),
		sent:           make(map[once.RequestID]submission),
		dispatched:     make(map[content]time.Time),
		everDispatched: make(map[content]bool),
		cancelled:      make(map[once.RequestID]bool),
	}
	for _, name := range names {
		w.nodes[name] = &fakeNode{w: w, name: name}
	}
	for _, name := range names {
		w.restart(name)
	}
	return w
}

// restart starts a new run of a node, without its memory.
func (w *world) restart(name string) {
	n := w.nodes[name]
	w.started++
	n.member = once.Member{Name: name, Incarnation: w.started}
	n.home = once.NewHome(w.cfg, n.member, n)
	n.witness = once.NewWitness(w.cfg, n.member)
	n.running = nil
	n.leaving = false
	var others []string
	for other := range w.nodes {
		if other != name {
			others = append(others, other)
		}
	}
	slices.Sort(others)
	n.home.SetCandidates(others, len(others) == 0)
}

// submit sends a request through a node.
func (w *world) submit(name string, key once.Key, body byte) once.RequestID {
	return w.submitAfter(name, key, body, once.Claim{})
}

// submitAfter sends a request that another home handed over with an abandoned claim.
func (w *world) submitAfter(name string, key once.Key, body byte, gaveUp once.Claim) once.RequestID {
	w.lastID++
	a := content{key: key, digest: once.Digest{body}}
	r := once.Request{ID: w.lastID, Key: key, Digest: a.digest, AbandonedClaim: gaveUp}
	w.sent[r.ID] = submission{content: a, request: r, at: w.now, dispatchedAt: w.dispatched[a], node: name}
	w.nodes[name].home.Submit(w.now, r)
	return r.ID
}

// finish ends a running request.
func (w *world) finish(id once.RequestID, r once.Result) {
	s := w.sent[id]
	n := w.nodes[s.node]
	n.running = slices.DeleteFunc(n.running, func(other once.RequestID) bool { return other == id })
	if r.Outcome.Kind == outcome.NotRun {
		delete(w.dispatched, s.content)
	}
	s.answer = &r
	w.sent[id] = s
	n.home.Finish(w.now, id, r)
}

// settle delivers everything until nothing is in flight.
func (w *world) settle() {
	for len(w.actions) > 0 {
		w.deliver(0)
	}
}

func (w *world) deliver(i int) {
	a := w.actions[i]
	w.actions = slices.Delete(w.actions, i, i+1)
	a.deliver()
}

func (w *world) lose(i int) {
	a := w.actions[i]
	w.actions = slices.Delete(w.actions, i, i+1)
	a.lose()
}

// advance advances the time in steps, and delivers everything in each step.
func (w *world) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.tick()
		w.settle()
	}
}

func (w *world) tick() {
	for _, name := range w.names() {
		w.nodes[name].home.Tick(w.now)
	}
}

func (w *world) names() []string {
	var names []string
	for name := range w.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// withinRetention reports whether t lies within the retention.
func (w *world) withinRetention(t time.Time) bool {
	return !t.IsZero() && w.now.Sub(t) < w.cfg.Retention
}

// Admit implements once.Delegate. The test decides when the request is admitted, by
// delivering the action, or refused, by losing it.
func (n *fakeNode) Admit(id once.RequestID) {
	home := n.home
	stillWaits := func() bool { return n.home == home && !n.w.cancelled[id] && n.w.sent[id].answer == nil }
	n.w.actions = append(n.w.actions, action{
		from: n.name, to: n.name,
		deliver: func() {
			if stillWaits() {
				home.Admitted(n.w.now, n.w.sent[id].request)
			}
		},
		lose: func() {
			if stillWaits() {
				home.Refused(n.w.now, n.w.sent[id].request, failedResult(outcome.ReasonQueueFull))
			}
		},
	})
}

// cancel withdraws a request that was not dispatched.
func (w *world) cancel(id once.RequestID) {
	s := w.sent[id]
	w.cancelled[id] = true
	w.nodes[s.node].home.Cancel(w.now, s.request)
}

// Dispatch implements once.Delegate.
func (n *fakeNode) Dispatch(id once.RequestID) {
	s := n.w.sent[id]
	for other, at := range n.w.dispatched {
		if other.key == s.key && n.w.withinRetention(at) {
			n.w.fault("key %s dispatched twice, the second time by %s", s.key, n.name)
		}
	}
	n.w.dispatched[s.content] = n.w.now
	n.w.everDispatched[s.content] = true
	n.running = append(n.running, id)
}

// Reply implements once.Delegate.
func (n *fakeNode) Reply(id once.RequestID, r once.Result) {
	s := n.w.sent[id]
	if s.answer != nil || n.w.cancelled[id] {
		n.w.fault("request %d answered after its end", id)
	}
	s.answer = &r
	n.w.sent[id] = s
	if slices.Contains(n.running, id) {
		n.w.fault("request %d answered while it is running", id)
	}
	// If a key comes with another body after the first one expired, a home that
	// still keeps the first may refuse it as reused.
	twoBodies := r.Outcome.Reason == outcome.ReasonKeyReused && n.w.ranWithAnotherBody(s.content)
	ranBefore := !twoBodies && !s.dispatchedAt.IsZero() && n.w.dispatched[s.content].Equal(s.dispatchedAt) && s.at.Sub(s.dispatchedAt) < n.w.cfg.Retention
	if r.Outcome.Kind == outcome.NotRun && ranBefore {
		n.w.fault("request %d: refused with reason %s, but its key %s was dispatched", id, r.Outcome.Reason, s.key)
	}
	if r.Outcome.Kind == outcome.Run && (r.Answer == nil || r.Answer.Body[0] != s.digest[0]) {
		n.w.fault("request %d got an answer that is not its own", id)
	}
}

// ranWithAnotherBody reports whether the key was ever dispatched with another body.
func (w *world) ranWithAnotherBody(a content) bool {
	for other := range w.everDispatched {
		if other.key == a.key && other.digest != a.digest {
			return true
		}
	}
	return false
}

// Send implements once.Delegate.
func (n *fakeNode) Send(op once.OpID, to once.Member, m once.Message) {
	home := n.home
	reply := func(a once.Ack, answered bool) {
		if n.home == home && op != 0 {
			home.HandleAck(n.w.now, op, a, answered)
		}
	}
	n.w.actions = append(n.w.actions, action{
		from: n.name, to: to.Name,
		deliver: func() {
			other := n.w.nodes[to.Name]
			a := other.witness.Receive(n.w.now, to, m)
			n.w.actions = append(n.w.actions, action{
				from: to.Name, to: n.name,
				deliver: func() { reply(a, true) },
				lose:    func() { reply(once.Ack{}, false) },
			})
		},
		lose: func() { reply(once.Ack{}, false) },
	})
}

// settleWithout is like settle, but loses everything from or to the named nodes or
// the store.
func (w *world) settleWithout(names ...string) {
	for len(w.actions) > 0 {
		a := w.actions[0]
		if slices.Contains(names, a.from) || slices.Contains(names, a.to) {
			w.lose(0)
			continue
		}
		w.deliver(0)
	}
}

// deliverBetween delivers what is in flight between a node and the named places,
// which are nodes or the store. It loses what is in flight between the node and other
// places, and leaves the rest in flight.
func (w *world) deliverBetween(node string, places ...string) {
	for i := 0; i < len(w.actions); {
		a := w.actions[i]
		other := a.to
		if a.to == node {
			other = a.from
		}
		switch {
		case a.from != node && a.to != node:
			i++
			continue
		case other == node || slices.Contains(places, other):
			w.deliver(i)
		default:
			w.lose(i)
		}
		i = 0
	}
}

// advanceWithout is like advance, but loses everything from or to the named nodes or
// the store.
func (w *world) advanceWithout(d time.Duration, names ...string) {
	const step = 100 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.tick()
		w.settleWithout(names...)
	}
}

// answered returns the reason with which a request ended, or "" if it has not ended.
func (w *world) answered(id once.RequestID) outcome.Reason {
	if a := w.sent[id].answer; a != nil {
		return a.Outcome.Reason
	}
	return ""
}

// isRunning reports whether a request was dispatched and has not ended.
func (w *world) isRunning(id once.RequestID) bool {
	return slices.Contains(w.nodes[w.sent[id].node].running, id)
}

// answeredResult returns the result of a request whose target answered.
func answeredResult(body byte) once.Result {
	return once.Result{
		Outcome: outcome.New(outcome.ReasonAnswered, "", 0),
		Answer:  &once.Answer{Status: 201, Body: []byte{body}},
	}
}

// failedResult returns the result of a request without an answer.
func failedResult(reason outcome.Reason) once.Result {
	return once.Result{Outcome: outcome.New(reason, "", 0)}
}
