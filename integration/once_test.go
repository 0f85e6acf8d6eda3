package integration

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/fleet/publish"
	"filbertmill.example/node"
	"filbertmill.example/once"
	"filbertmill.example/outcome"
	"filbertmill.example/testbed/answer"
	"filbertmill.example/testbed/faultproxy"
	"filbertmill.example/testbed/memory"
	"filbertmill.example/testbed/process"
	"filbertmill.example/testbed/standin"
	"filbertmill.example/testbed/target"
)

const bookingConfig = `
[service bookings]

[route book]
prefix = /book
service = bookings
idempotency = never
timeout = 5s
`

// bookingFleet is a fleet with a store and one service, bookings, whose requests have
// an idempotency key and may run only once.
type bookingFleet struct {
	*fleet
	store   *standin.Standin
	targets []*target.Target
	ledger  *target.Ledger
	// proxies forward connections from the fleet, one to each target.
	proxies []*faultproxy.Proxy
	// notRun holds the callers' attempts of each booking that were answered as not run.
	notRun map[string][]int
}

// startBookings starts n nodes, a store and four targets with one ledger.
func startBookings(c *qt.C, n int) *bookingFleet { return startBookingsWith(c, n, "") }

// startBookingsWith is startBookings with further sections of the nodes' settings.
func startBookingsWith(c *qt.C, n int, sections string) *bookingFleet {
	store, err := standin.Start("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = store.Close() })
	ledger := target.NewLedger()
	cfg := target.Config{Ledger: ledger, Work: 2 * time.Millisecond, CrashFor: 50 * time.Millisecond}
	targets, ini := startTargets(c, "bookings", cfg, cfg, cfg, cfg)
	var proxies []*faultproxy.Proxy
	for _, t := range targets {
		p, err := faultproxy.Listen("127.0.0.1:0", t.Address())
		c.Assert(err, qt.IsNil)
		c.Cleanup(p.Close)
		proxies = append(proxies, p)
		ini = strings.Replace(ini, t.Address(), p.Address(), 1)
	}
	publisher := &publish.Publisher{Store: store.Store}
	_, err = publisher.Apply(c.Context(), publish.Change{File: "fleet.ini", Text: []byte(bookingConfig + ini), Author: "test"})
	c.Assert(err, qt.IsNil)
	f := startNodesWith(c, n, "store = "+store.URL(), sections)
	return &bookingFleet{
		fleet: f, store: store, targets: targets, ledger: ledger, proxies: proxies, notRun: make(map[string][]int),
	}
}

// book sends a booking through the i-th node.
func (f *bookingFleet) book(i int, id string, header ...string) reply {
	return f.booking(i, id, header...).send()
}

// booking returns the request for a booking, with further headers as pairs of name
// and value.
func (f *bookingFleet) booking(i int, id string, header ...string) callerRequest {
	s := callerRequest{
		method: "POST", url: f.url(i, "/book"), id: id, body: "rug " + id,
		header: map[string]string{"Idempotency-Key": id},
	}
	for k := 0; k < len(header); k += 2 {
		s.header[header[k]] = header[k+1]
	}
	return s
}

// holder returns the index of the node that holds the tenure of bookings, the exclusive
// right to dispatch them, according to the store.
func (f *bookingFleet) holder(c *qt.C) int {
	e, err := f.store.Store.Get(c.Context(), "tenure/bookings")
	c.Assert(err, qt.IsNil)
	var t once.Tenure
	c.Assert(json.Unmarshal(e.Value, &t), qt.IsNil)
	for i, n := range f.nodes {
		if n.Spec.Name == t.Holder.Name {
			return i
		}
	}
	c.Fatalf("the holder %s is no node of the fleet", t.Holder.Name)
	return 0
}

// witnessedEnds returns how many copies of ended bookings the nodes keep as witnesses.
func (f *bookingFleet) witnessedEnds(c *qt.C) int {
	n := 0
	for _, spec := range f.specs {
		var list []node.ClaimsStatus
		c.Assert(process.GetJSON(c.Context(), spec.Admin, node.ClaimsPath, &list), qt.IsNil)
		for _, s := range list {
			n += s.WitnessedEnds
		}
	}
	return n
}

// TestRepeatThroughAnyNodeIsReplayed guards against a booking that runs again when its
// caller repeats it through another node, and against a key that is used for two
// different requests.
func TestRepeatThroughAnyNodeIsReplayed(t *testing.T) {
	c := qt.New(t)
	f := startBookings(c, 4)
	first := f.book(0, "van-1")
	c.Assert(first.failure, qt.IsNil)
	c.Assert(first.kind, qt.Equals, outcome.Run, qt.Commentf("%s", first.body))
	for i := range f.nodes {
		again := f.book(i, "van-1")
		c.Check(again.kind, qt.Equals, outcome.Run)
		c.Check(again.status, qt.Equals, first.status)
		c.Check(string(again.body), qt.Equals, string(first.body))
		c.Check(again.header.Get(answer.HeaderTarget), qt.Equals, first.header.Get(answer.HeaderTarget))
	}
	other := callerRequest{
		method: "POST", url: f.url(1, "/book"), id: "van-1", body: "another rug",
		header: map[string]string{"Idempotency-Key": "van-1"},
	}.send()
	c.Check(other.kind, qt.Equals, outcome.NotRun)
	c.Check(other.reason, qt.Equals, string(outcome.ReasonKeyReused))
	c.Check(f.ledger.Runs("van-1"), qt.HasLen, 1)
}

// TestRepeatAfterTheHomeCrashedIsReplayed guards against an answer that is lost with
// the home, so that a repeated booking is unknown or runs again. Two witnesses keep
// the answer.
func TestRepeatAfterTheHomeCrashedIsReplayed(t *testing.T) {
	c := qt.New(t)
	f := startBookings(c, 4)
	c.Assert(f.book(0, "van-1").kind, qt.Equals, outcome.Run)
	home := f.holder(c)
	c.Assert(eventually(func() bool { return f.witnessedEnds(c) == 2 }), qt.IsTrue)
	f.nodes[home].Kill()
	again := f.book((home+1)%4, "van-1")
	c.Check(again.kind, qt.Equals, outcome.Run, qt.Commentf("%s", again.body))
	next := f.book((home+2)%4, "van-2")
	c.Check(next.kind, qt.Equals, outcome.Run, qt.Commentf("%s", next.body))
	c.Check(f.ledger.Runs("van-1"), qt.HasLen, 1)
	c.Check(f.ledger.Runs("van-2"), qt.HasLen, 1)
}

// TestRepeatWhileTheHomeIsSuspendedIsUnknown guards against a booking that runs again,
// or is answered as not run, because its home was suspended while a target ran it,
// was replaced, and then resumed.
func TestRepeatWhileTheHomeIsSuspendedIsUnknown(t *testing.T) {
	c := qt.New(t)
	f := startBookings(c, 4)
	c.Assert(f.book(0, "van-0").kind, qt.Equals, outcome.Run)
	home := f.holder(c)
	first := make(chan reply, 1)
	go func() { first <- f.book((home+1)%4, "van-1", answer.HeaderWork, "1s") }()
	c.Assert(eventually(func() bool { return len(f.ledger.Runs("van-1")) == 1 }), qt.IsTrue)
	c.Assert(f.nodes[home].Pause(), qt.IsNil)
	again := f.book((home+2)%4, "van-1", answer.HeaderWork, "1s")
	c.Check(again.kind, qt.Equals, outcome.Unknown, qt.Commentf("%s %s", again.reason, again.body))
	c.Assert(f.nodes[home].Resume(), qt.IsNil)
	c.Check((<-first).kind, qt.Not(qt.Equals), outcome.NotRun)
	last := f.book(home, "van-1", answer.HeaderWork, "1s")
	c.Check(last.kind, qt.Not(qt.Equals), outcome.NotRun)
	c.Check(f.ledger.Runs("van-1"), qt.HasLen, 1)
}

// TestBookingsGoOnWhileTheStoreIsUnavailable guards against bookings that need the
// store once a home holds the tenure.
func TestBookingsGoOnWhileTheStoreIsUnavailable(t *testing.T) {
	c := qt.New(t)
	f := startBookings(c, 4)
	c.Assert(f.book(0, "van-0").kind, qt.Equals, outcome.Run)
	f.store.Store.SetFaults(memory.Faults{Unavailable: true})
	for i := range 4 {
		id := fmt.Sprint("van-away-", i)
		r := f.book(i, id)
		c.Check(r.kind, qt.Equals, outcome.Run, qt.Commentf("%s", r.body))
		again := f.book((i+1)%4, id)
		c.Check(again.kind, qt.Equals, outcome.Run)
		c.Check(f.ledger.Runs(id), qt.HasLen, 1)
	}
}

// TestBookingsAfterStoreWritesWhoseRepliesWereLost guards against a home that cannot
// dispatch because it takes a write to the store that was applied, but whose reply
// was lost, for one that failed.
func TestBookingsAfterStoreWritesWhoseRepliesWereLost(t *testing.T) {
	c := qt.New(t)
	f := startBookings(c, 3)
	f.store.Store.SetFaults(memory.Faults{LoseReplies: 2})
	r := f.book(0, "van-1")
	c.Check(r.kind, qt.Equals, outcome.Run, qt.Commentf("%s", r.body))
	c.Check(f.book(1, "van-1").kind, qt.Equals, outcome.Run)
	c.Check(f.ledger.Runs("van-1"), qt.HasLen, 1)
}

// TestKeyWithoutAStoreIsRefused guards against a keyed request that is dispatched by a
// fleet without a store, where nothing ensures that it runs once.
func TestKeyWithoutAStoreIsRefused(t *testing.T) {
	c := qt.New(t)
	targets, ini := startTargets(c, "bookings", target.Config{})
	f := &bookingFleet{fleet: startFleet(c, 1, bookingConfig+ini), ledger: targets[0].Ledger()}
	r := f.book(0, "van-1")
	c.Check(r.kind, qt.Equals, outcome.NotRun)
	c.Check(r.reason, qt.Equals, string(outcome.ReasonNoClaim))
	c.Check(f.ledger.Runs("van-1"), qt.HasLen, 0)
}

// eventually waits until cond returns true, at most 20 s, and reports whether it did.
func eventually(cond func() bool) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return false
}
