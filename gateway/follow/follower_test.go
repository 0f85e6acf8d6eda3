package follow

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
	"filbertmill.example/testbed/memory"
	"filbertmill.example/testbed/standin"
)

// member is one follower with its own client of the store.
type member struct {
	replica  *replica.Replica
	follower *Follower
	stop     context.CancelFunc
}

// startMembers runs followers in two zones before one store.
func startMembers(t *testing.T, n int) (*standin.Standin, *platform.Client, []*member) {
	t.Helper()
	s, err := standin.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = s.Close() })
	put(t, platform.NewClient(strings.TrimPrefix(s.URL(), "http://"), nil), 1)
	client, members := startMembersAt(t, s, n)
	for _, m := range members {
		await(t, "all have registered", 5*time.Second, func() bool { return len(m.replica.View().Nodes) == n })
		await(t, "two relays", 5*time.Second, func() bool { return len(m.follower.Relays()) == 2 })
	}
	return s, client, members
}

// startMembersAt runs followers in two zones before a store that runs already.
func startMembersAt(t *testing.T, s *standin.Standin, n int) (*platform.Client, []*member) {
	t.Helper()
	address := strings.TrimPrefix(s.URL(), "http://")
	client := platform.NewClient(address, nil)
	var listeners []net.Listener
	var seeds []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		listeners = append(listeners, l)
		seeds = append(seeds, l.Addr().String())
	}
	var members []*member
	for i, l := range listeners {
		name := fmt.Sprintf("n%d", i)
		transport, err := control.New(control.Config{Name: name, Key: []byte("0123456789abcdef")})
		qt.Assert(t, err, qt.IsNil)
		go func() { _ = transport.Serve(l) }()
		m := &member{replica: replica.New(hclog.NewNullLogger())}
		m.follower = New(Config{
			Store: platform.NewClient(address, nil), Replica: m.replica, Transport: transport, Log: hclog.NewNullLogger(),
			Self:  replica.Node{Name: name, AvailabilityZone: string(rune('a' + i%2)), ControlAddress: l.Addr().String()},
			Seeds: seeds[:min(3, n)], FirstStart: true,
		})
		ctx, cancel := context.WithCancel(context.Background())
		m.stop = func() {
			cancel()
			_ = transport.Close()
		}
		t.Cleanup(m.stop)
		go m.follower.Run(ctx)
		members = append(members, m)
	}
	return client, members
}

func put(t *testing.T, c *platform.Client, version int) {
	t.Helper()
	text := fmt.Sprintf(`{"version":"%08x"}`, version)
	_, err := c.Txn(t.Context(), nil, []platform.Put{{Key: platform.ConfigurationKey, Value: []byte(text)}})
	qt.Assert(t, err, qt.IsNil)
}

func await(t *testing.T, what string, limit time.Duration, done func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("%s: not within %s", what, limit)
}

// awaitVersion waits until all members know a configuration.
func awaitVersion(t *testing.T, members []*member, version int64, limit time.Duration) {
	t.Helper()
	end := time.Now().Add(limit)
	for i, m := range members {
		await(t, fmt.Sprintf("version %d at member %d", version, i), time.Until(end), func() bool {
			cfg := m.replica.View().Config
			return cfg != nil && int64(cfg.Revision) >= version
		})
	}
}

// bound is the time in which a change has to be in force.
const bound = 2 * time.Second

// TestFewFollowTheStore counts the calls of a calm fleet: only relays make any.
func TestFewFollowTheStore(t *testing.T) {
	s, client, members := startMembers(t, 6)
	time.Sleep(relayTime + time.Second)
	before := s.Store.Calls().Total()
	time.Sleep(2 * time.Second)
	calls := s.Store.Calls().Total() - before
	qt.Check(t, calls <= 2*3, qt.IsTrue, qt.Commentf("%d calls in 2 s by 2 relays", calls))
	put(t, client, 2)
	awaitVersion(t, members, 2, bound)
}

func TestChangeArrivesThoughBothRelaysDied(t *testing.T) {
	_, client, members := startMembers(t, 6)
	relays := members[0].follower.Relays()
	var alive []*member
	for _, m := range members {
		if m.follower.cfg.Self == relays[0] || m.follower.cfg.Self == relays[1] {
			m.stop()
			continue
		}
		alive = append(alive, m)
	}
	put(t, client, 2)
	awaitVersion(t, alive, 2, bound)
}

// TestDeafWatchIsNoticed has watches hear nothing while changes are made.
func TestDeafWatchIsNoticed(t *testing.T) {
	s, client, members := startMembers(t, 4)
	s.Store.SetFaults(memory.Faults{DeafWatches: true})
	put(t, client, 2)
	awaitVersion(t, members, 2, bound)
}

func TestForgottenHistoryIsReadAnew(t *testing.T) {
	s, client, members := startMembers(t, 4)
	s.Store.SetFaults(memory.Faults{DeafWatches: true})
	put(t, client, 2)
	s.Store.Compact()
	s.Store.SetFaults(memory.Faults{})
	awaitVersion(t, members, 2, bound)
}

func TestStoreThatComesBackIsFollowed(t *testing.T) {
	s, client, members := startMembers(t, 4)
	s.Store.SetFaults(memory.Faults{Away: true})
	time.Sleep(1500 * time.Millisecond)
	s.Store.SetFaults(memory.Faults{})
	put(t, client, 2)
	awaitVersion(t, members, 2, bound+retryMax)
}

// churn changes a key until the test ends, faster than changes are collected.
func churn(t *testing.T, c *platform.Client) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			_, _ = c.Txn(ctx, nil, []platform.Put{{Key: "servers/i-churn", Value: fmt.Appendf(nil, "%d", i)}})
			time.Sleep(10 * time.Millisecond)
		}
	}()
}

// TestStartAmongManyChangesCostsFewCalls starts a fleet while targets report
// often: nodes that are no relays leave the store to them at once.
func TestStartAmongManyChangesCostsFewCalls(t *testing.T) {
	const nodes, relays, perNode = 12, 2, 10
	s, client, members := startMembers(t, nodes)
	churn(t, client)
	time.Sleep(relayTime + time.Second)
	for _, m := range members[2:] {
		m.stop()
	}
	watches := s.Store.Calls().Watch
	time.Sleep(time.Second)
	calls := s.Store.Calls().Watch - watches
	// Each relay hears of changes ten times a second at most.
	qt.Check(t, calls <= relays*(int64(time.Second/batchTime)+2), qt.IsTrue, qt.Commentf("%d watches in 1 s by %d relays", calls, relays))
	start := s.Store.Calls().Total()
	_, again := startMembersAt(t, s, nodes-2)
	await(t, "all know the content", 3*time.Second, func() bool {
		for _, m := range again {
			if m.replica.View().Config == nil {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second)
	writes := int64(150) // of the churn, in 1.5 s
	calls = s.Store.Calls().Total() - start - writes
	qt.Check(t, calls <= nodes*perNode, qt.IsTrue, qt.Commentf("%d calls by %d nodes", calls, nodes))
}

// TestOutageCostsFewCalls has the store refuse all: nodes beside relays ask it
// less than once a second, and know a change soon after it is back.
func TestOutageCostsFewCalls(t *testing.T) {
	const outage = 6 * time.Second
	s, client, members := startMembers(t, 8)
	time.Sleep(relayTime + time.Second)
	s.Store.SetFaults(memory.Faults{Refuse: true})
	time.Sleep(freshAge)
	before := s.Store.Calls().Total()
	time.Sleep(outage)
	calls := s.Store.Calls().Total() - before
	// Two relays may ask each second, six nodes half as often.
	allowed := int64(outage/time.Second) * (2*2 + 6)
	qt.Check(t, calls <= allowed, qt.IsTrue, qt.Commentf("%d calls in %s, %d allowed", calls, outage, allowed))
	s.Store.SetFaults(memory.Faults{})
	put(t, client, 2)
	awaitVersion(t, members, 2, retryMax+bound)
}

// TestRelayThatTurnedStaleBetweenQuestionsSaysSo has a relay answer while its copy
// is just fresh, and be asked again once it is not: holding the question would
// leave the node with an old copy that it takes for fresh.
func TestRelayThatTurnedStaleBetweenQuestionsSaysSo(t *testing.T) {
	transport, err := control.New(control.Config{Name: "relay", Key: []byte("0123456789abcdef")})
	qt.Assert(t, err, qt.IsNil)
	f := New(Config{Replica: replica.New(hclog.NewNullLogger()), Transport: transport, Log: hclog.NewNullLogger()})
	f.noteStore(time.Now().Add(-freshAge - 50*time.Millisecond))
	ask := func(fresh bool) (update, time.Duration) {
		body, err := cbor.Marshal(question{Wait: farWait, Fresh: fresh})
		qt.Assert(t, err, qt.IsNil)
		start := time.Now()
		reply, err := f.answer(t.Context(), "n", body)
		qt.Assert(t, err, qt.IsNil)
		return reply.(update), time.Since(start)
	}
	u, took := ask(true)
	qt.Check(t, u.Age >= freshAge, qt.IsTrue)
	qt.Check(t, took < lookInterval, qt.IsTrue, qt.Commentf("took %s", took))
	_, took = ask(false)
	qt.Check(t, took >= farWait, qt.IsTrue, qt.Commentf("a node that knows is not told again for %s", farWait))
}
