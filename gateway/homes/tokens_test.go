package homes

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/follow"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
	"filbertmill.example/retry"
)

// fixedFleet is a Fleet of a number of hosts.
type fixedFleet int

func (f fixedFleet) LimitShares(time.Time) int { return int(f) }

// fixedRelays are relays that are never taken off the list.
type fixedRelays []replica.Node

func (r fixedRelays) Relays() []replica.Node { return r }
func (r fixedRelays) Suspect(string)         {}

// slowHome takes questions and does not answer them in time.
type slowHome struct {
	mu    sync.Mutex
	taken []balance.Attempt
}

func newTransport(t *testing.T, name string) *control.Transport {
	t.Helper()
	tr, err := control.New(control.Config{Name: name, Key: fleetKey})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = tr.Close() })
	return tr
}

var fleetKey = []byte("0123456789abcdef")

// startSlowHome returns a home that only takes questions.
func startSlowHome(t *testing.T, name string) (*slowHome, replica.Node) {
	t.Helper()
	h := &slowHome{}
	tr := newTransport(t, name)
	tr.Handle(kindSubmit, func(ctx context.Context, _ string, body []byte) (any, error) {
		var a balance.Attempt
		if err := control.Unmarshal(body, &a); err != nil {
			return nil, err
		}
		h.mu.Lock()
		h.taken = append(h.taken, a)
		h.mu.Unlock()
		time.Sleep(2 * callTimeout)
		return balance.Grant{}, nil
	})
	return h, listen(t, tr, name)
}

// TestFirstQuestionToAHomeBringsTokens guards against second attempts that are
// refused after a start or a takeover, since nodes do not know the home's clock yet.
func TestFirstQuestionToAHomeBringsTokens(t *testing.T) {
	c := qt.New(t)
	bound := retry.Bound{Window: 10 * time.Second, Ratio: 1.5}
	_, client := startHome(t, bound)
	ask := func(n uint64, repeat balance.Repeat) string {
		lease, err := client.Acquire(t.Context(), attempt(n, repeat))
		c.Assert(err, qt.IsNil)
		c.Check(lease.Home, qt.Equals, "h1")
		return lease.Target
	}
	granted := func(n uint64) bool {
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			n += 100
			if ask(n, balance.AfterFailure) != "" {
				return true
			}
		}
		return false
	}
	ask(1, balance.First)
	c.Check(granted(1), qt.IsTrue, qt.Commentf("the clock was not known"))
	c.Check(ask(2, balance.AfterFailure), qt.Equals, "", qt.Commentf("one request earned one second attempt"))
	client.clocks.note("h1", time.Hour)
	ask(3, balance.First)
	c.Check(granted(3), qt.IsTrue, qt.Commentf("the clock was that of an earlier run"))
	c.Check(ask(4, balance.AfterFailure), qt.Equals, "")
	ask(5, balance.First)
	c.Check(granted(5), qt.IsTrue, qt.Commentf("the clock is known"))
	c.Check(ask(6, balance.AfterFailure), qt.Equals, "")
}

// TestTokensOfQuietHostsReachTheHome guards against a bound that cannot be spent
// because most hosts ask about a service too seldom to bring their part.
func TestTokensOfQuietHostsReachTheHome(t *testing.T) {
	c := qt.New(t)
	bound := retry.Bound{Window: 400 * time.Millisecond, Extra: 100}
	home, client := startHome(t, bound)
	go client.Run(t.Context(), func() []string { return []string{"s"} })
	granted := make(chan balance.Grant, 1)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("no token came"))
		home.Submit(attempt(uint64(time.Until(end)), balance.AfterFailure), func(g balance.Grant) { granted <- g })
		if (<-granted).Target != "" {
			return
		}
	}
}

// startHome returns the Loop of the home h1, and a Client of another host that asks it.
func startHome(t *testing.T, bound retry.Bound) (*balance.Loop, *Client) {
	t.Helper()
	home := startLoop(t, bound)
	tr := newTransport(t, "h1")
	Serve(home, tr)
	return home, newClient(t, bound, fixedRelays{listen(t, tr, "h1")})
}

// listen has a Transport receive messages and returns the node that it is.
func listen(t *testing.T, tr *control.Transport, name string) replica.Node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = tr.Serve(l) }()
	return replica.Node{Name: name, AvailabilityZone: "a", ControlAddress: l.Addr().String()}
}

// newClient returns the Client of the host n0.
func newClient(t *testing.T, bound retry.Bound, relays fixedRelays) *Client {
	t.Helper()
	return NewClient(Config{
		Self: "n0", Relays: relays, Transport: newTransport(t, "n0"), Fleet: fixedFleet(1), Retries: bound,
		Shared: startLoop(t, bound), Alone: startLoop(t, bound), Log: hclog.NewNullLogger(),
	})
}

// startLoop returns a Loop that runs, with one service of one target.
func startLoop(t *testing.T, bound retry.Bound) *balance.Loop {
	l := balance.New(balance.Config{TokenLife: bound.Life(), Log: hclog.NewNullLogger()})
	go l.Run(t.Context())
	l.SetView(&replica.View{
		Config:  &dynamic.Config{},
		Targets: map[string][]platform.Target{"s": {{ID: "t0", Service: "s", Slots: 900}}},
	})
	return l
}

func attempt(n uint64, repeat balance.Repeat) balance.Attempt {
	return balance.Attempt{ID: balance.ID{Number: n}, Service: "s", Route: "r", Repeat: repeat, TimeLeft: time.Minute, DueLeft: time.Minute}
}

// TestTokensGoToOneHomeOnly guards against retry tokens that several homes hold
// because the first one asked did not answer in time.
func TestTokensGoToOneHomeOnly(t *testing.T) {
	c := qt.New(t)
	one, first := startSlowHome(t, "h1")
	two, second := startSlowHome(t, "h2")
	relays := fixedRelays(follow.RankHomes("s", []replica.Node{first, second}))
	if relays[0].Name != "h1" {
		one, two = two, one
	}
	bound := retry.Bound{Window: 10 * time.Second, Ratio: 1, Extra: 100}
	client := newClient(t, bound, relays)
	for _, h := range relays {
		client.clocks.note(h.Name, time.Second)
	}
	for i := range uint64(4) {
		lease, err := client.Acquire(t.Context(), attempt(i, balance.First))
		c.Assert(err, qt.IsNil)
		c.Check(lease.Target, qt.Not(qt.Equals), "", qt.Commentf("no home answers"))
	}
	c.Assert(one.taken, qt.HasLen, 4)
	c.Assert(two.taken, qt.HasLen, 4)
	for i := range one.taken {
		c.Check(one.taken[i].Deposit.Earned > 0, qt.IsTrue)
		c.Check(two.taken[i].Deposit, qt.Equals, retry.Deposit{})
	}
	c.Check(one.taken[3].Deposit.Accrued > 0, qt.IsTrue, qt.Commentf("the host's part of the fixed second attempts"))
	c.Check(two.taken[0].SentAt >= time.Second, qt.IsTrue)
	lease, err := client.Acquire(t.Context(), attempt(9, balance.AfterFailure))
	c.Assert(err, qt.IsNil)
	c.Check(lease.Target, qt.Equals, "", qt.Commentf("this node has no tokens left"))
}

// TestClockOfAHomeIsNeverAhead guards against tokens that seem younger than they
// are to the home that gets them.
func TestClockOfAHomeIsNeverAhead(t *testing.T) {
	c := qt.New(t)
	k := clocks{read: make(map[string]reading)}
	c.Check(k.estimate("h1"), qt.Equals, time.Duration(0), qt.Commentf("not known"))
	home := balance.New(balance.Config{Log: hclog.NewNullLogger()})
	for range 5 {
		shown := home.Clock()
		time.Sleep(time.Millisecond)
		k.note("h1", shown)
		time.Sleep(time.Millisecond)
		estimate := k.estimate("h1")
		c.Check(estimate > shown && estimate <= home.Clock(), qt.IsTrue)
	}
}
