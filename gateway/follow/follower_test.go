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

// startMembers starts a store and followers of it in two zones.
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

// startMembersAt starts followers in two zones of a store that is already running.
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
		m.run(t, transport)
		members = append(members, m)
	}
	return client, members
}

// run runs the member's follower until the test ends or the member is stopped.
func (m *member) run(t *testing.T, transport *control.Transport) {
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = func() {
		cancel()
		_ = transport.Close()
	}
	t.Cleanup(m.stop)
	go m.follower.Run(ctx)
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

// awaitVersion waits until all members have a version of the configuration.
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

// propagationLimit is the time in which a change has to be in force.
const propagationLimit = 2 * time.Second

// TestFewFollowTheStore counts the store calls of a fleet without changes: only relays
// make any.
func TestFewFollowTheStore(t *testing.T) {
	s, client, members := startMembers(t, 6)
	time.Sleep(relayIdleTime + time.Second)
	before := s.Store.Calls().Total()
	time.Sleep(2 * time.Second)
	calls := s.Store.Calls().Total() - before
	qt.Check(t, calls <= 2*3, qt.IsTrue, qt.Commentf("%d calls in 2 s by 2 relays", calls))
	put(t, client, 2)
	awaitVersion(t, members, 2, propagationLimit)
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
	awaitVersion(t, alive, 2, propagationLimit)
}

// TestStalledWatchIsNoticed makes a change while watches deliver nothing.
func TestStalledWatchIsNoticed(t *testing.T) {
	s, client, members := startMembers(t, 4)
	s.Store.SetFaults(memory.Faults{DropWatchEvents: true})
	put(t, client, 2)
	awaitVersion(t, members, 2, propagationLimit)
}

func TestCompactedHistoryIsReadAgain(t *testing.T) {
	s, client, members := startMembers(t, 4)
	s.Store.SetFaults(memory.Faults{DropWatchEvents: true})
	put(t, client, 2)
	s.Store.Compact()
	s.Store.SetFaults(memory.Faults{})
	awaitVersion(t, members, 2, propagationLimit)
}

func TestStoreThatComesBackIsFollowed(t *testing.T) {
	s, client, members := startMembers(t, 4)
	s.Store.SetFaults(memory.Faults{Unavailable: true})
	time.Sleep(1500 * time.Millisecond)
	s.Store.SetFaults(memory.Faults{})
	put(t, client, 2)
	awaitVersion(t, members, 2, propagationLimit+retryMax)
}

// churn changes a key until the test ends, more often than once per batchInterval.
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

// TestStartAmongManyChangesCostsFewCalls starts a fleet while targets report often:
// nodes that are no relays must immediately leave the store to the relays.
func TestStartAmongManyChangesCostsFewCalls(t *testing.T) {
	const nodes, relays, perNode = 12, 2, 10
	s, client, members := startMembers(t, nodes)
	churn(t, client)
	time.Sleep(relayIdleTime + time.Second)
	for _, m := range members[2:] {
		m.stop()
	}
	watches := s.Store.Calls().Watch
	time.Sleep(time.Second)
	calls := s.Store.Calls().Watch - watches
	// Each relay receives changes ten times a second at most.
	qt.Check(t, calls <= relays*(int64(time.Second/batchInterval)+2), qt.IsTrue, qt.Commentf("%d watches in 1 s by %d relays", calls, relays))
	start := s.Store.Calls().Total()
	_, again := startMembersAt(t, s, nodes-2)
	await(t, "all have the configuration", 3*time.Second, func() bool {
		for _, m := range again {
			if m.replica.View().Config == nil {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second)
	writes := int64(150) // by churn, in 1.5 s
	calls = s.Store.Calls().Total() - start - writes
	qt.Check(t, calls <= nodes*perNode, qt.IsTrue, qt.Commentf("%d calls by %d nodes", calls, nodes))
}

// TestOutageCostsFewCalls makes the store refuse all calls: nodes other than relays
// call it less than once a second, and receive a change soon after the outage.
func TestOutageCostsFewCalls(t *testing.T) {
	const outage = 6 * time.Second
	s, client, members := startMembers(t, 8)
	time.Sleep(relayIdleTime + time.Second)
	s.Store.SetFaults(memory.Faults{Refuse: true})
	time.Sleep(maxCopyAge)
	before := s.Store.Calls().Total()
	time.Sleep(outage)
	calls := s.Store.Calls().Total() - before
	// Two relays may make two calls each second, and six nodes one.
	allowed := int64(outage/time.Second) * (2*2 + 6)
	qt.Check(t, calls <= allowed, qt.IsTrue, qt.Commentf("%d calls in %s, %d allowed", calls, outage, allowed))
	s.Store.SetFaults(memory.Faults{})
	put(t, client, 2)
	awaitVersion(t, members, 2, retryMax+propagationLimit)
}

// TestRelayReportsThatItTurnedStaleBetweenPolls polls a relay whose replica was still
// fresh at the last answer and is stale now. If the relay held the poll, the node would
// keep an old replica that it takes for a fresh one.
func TestRelayReportsThatItTurnedStaleBetweenPolls(t *testing.T) {
	transport, err := control.New(control.Config{Name: "relay", Key: []byte("0123456789abcdef")})
	qt.Assert(t, err, qt.IsNil)
	f := New(Config{Replica: replica.New(hclog.NewNullLogger()), Transport: transport, Log: hclog.NewNullLogger()})
	f.recordConfirmation(time.Now().Add(-maxCopyAge - 50*time.Millisecond))
	poll := func(fresh bool) (changesReply, time.Duration) {
		body, err := cbor.Marshal(changesRequest{Wait: otherZoneWait, Fresh: fresh})
		qt.Assert(t, err, qt.IsNil)
		start := time.Now()
		reply, err := f.serveChanges(t.Context(), "n", body)
		qt.Assert(t, err, qt.IsNil)
		return reply.(changesReply), time.Since(start)
	}
	reply, took := poll(true)
	qt.Check(t, reply.Age >= maxCopyAge, qt.IsTrue)
	qt.Check(t, took < ageCheckInterval, qt.IsTrue, qt.Commentf("took %s", took))
	_, took = poll(false)
	qt.Check(t, took >= otherZoneWait, qt.IsTrue, qt.Commentf("a node that knows the relay to be stale is answered after %s", otherZoneWait))
}
