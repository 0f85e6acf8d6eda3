package follow

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
	"filbertmill.example/testbed/faultproxy"
	"filbertmill.example/testbed/standin"
)

// proxiedMember is a follower behind one proxy for other nodes, with another proxy
// between it and the store.
type proxiedMember struct {
	member
	inbound, store *faultproxy.Proxy
}

// silence drops all bytes between the node and others from now on, without a sign.
func silence(p *faultproxy.Proxy) {
	p.Set(faultproxy.ToUpstream, faultproxy.Fault{BlackHole: true})
	p.Set(faultproxy.ToCaller, faultproxy.Fault{BlackHole: true})
}

// proxiedFleet is a fleet of proxied members and the store that they follow.
type proxiedFleet struct {
	standin *standin.Standin
	client  *platform.Client
	members []*proxiedMember
}

// startProxiedFleet starts followers in two zones of a store that lists the target
// "leased", whose entry has a lease, and waits until all know it.
func startProxiedFleet(t *testing.T, n int) *proxiedFleet {
	t.Helper()
	s, err := standin.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = s.Close() })
	address := strings.TrimPrefix(s.URL(), "http://")
	fleet := &proxiedFleet{standin: s, client: platform.NewClient(address, nil)}
	put(t, fleet.client, 1)
	fleet.putTarget(t, "leased", "10.0.0.1:1")
	var seeds []string
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		listeners = append(listeners, l)
		m := &proxiedMember{inbound: startProxy(t, l.Addr().String()), store: startProxy(t, address)}
		seeds = append(seeds, m.inbound.Address())
		fleet.members = append(fleet.members, m)
	}
	for i, m := range fleet.members {
		m.start(t, i, listeners[i], seeds[:3])
	}
	for _, m := range fleet.members {
		await(t, "all have registered", 5*time.Second, func() bool { return len(m.replica.View().Nodes) == n })
		await(t, "two relays", 5*time.Second, func() bool { return len(m.follower.Relays()) == 2 })
		await(t, "the target is known", 5*time.Second, func() bool { return m.lists("leased") })
	}
	time.Sleep(relayIdleTime)
	return fleet
}

func startProxy(t *testing.T, upstream string) *faultproxy.Proxy {
	t.Helper()
	p, err := faultproxy.Listen("127.0.0.1:0", upstream)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(p.Close)
	return p
}

func (m *proxiedMember) start(t *testing.T, i int, l net.Listener, seeds []string) {
	t.Helper()
	name := fmt.Sprintf("n%d", i)
	transport, err := control.New(control.Config{Name: name, Key: []byte("0123456789abcdef")})
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = transport.Serve(l) }()
	m.replica = replica.New(hclog.NewNullLogger())
	m.follower = New(Config{
		Store: platform.NewClient(m.store.Address(), nil), Replica: m.replica, Transport: transport, Log: hclog.NewNullLogger(),
		Self:  replica.Node{Name: name, AvailabilityZone: string(rune('a' + i%2)), ControlAddress: m.inbound.Address()},
		Seeds: seeds, FirstStart: true,
	})
	m.run(t, transport)
}

// restart starts all members again, at other addresses and with the links to the store
// that they had.
func (f *proxiedFleet) restart(t *testing.T) []*proxiedMember {
	t.Helper()
	restarted := make([]*proxiedMember, len(f.members))
	listeners, seeds := make([]net.Listener, len(f.members)), make([]string, len(f.members))
	for i, m := range f.members {
		var err error
		listeners[i], err = net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		restarted[i] = &proxiedMember{inbound: startProxy(t, listeners[i].Addr().String()), store: m.store}
		seeds[i] = restarted[i].inbound.Address()
	}
	for i, m := range restarted {
		m.start(t, i, listeners[i], seeds)
	}
	return restarted
}

// lists reports whether the member's replica lists a target.
func (m *member) lists(id string) bool {
	return slices.ContainsFunc(m.replica.View().Targets["s"], func(t platform.Target) bool { return t.ID == id })
}

// putTarget writes the entry of a target, which the store removes when leases expire.
func (f *proxiedFleet) putTarget(t *testing.T, id, address string) {
	t.Helper()
	lease, err := f.client.Grant(t.Context(), time.Minute)
	qt.Assert(t, err, qt.IsNil)
	text := fmt.Sprintf(`{"address":%q,"born":1,"info":{"service":"s","slots":2},"status":{"state":"ready"}}`, address)
	_, err = f.client.Txn(t.Context(), nil, []platform.Put{{Key: platform.TargetPrefix + id, Value: []byte(text), Lease: lease}})
	qt.Assert(t, err, qt.IsNil)
}

// relays returns the members that are relays, and the others.
func (f *proxiedFleet) relays() (relays, others []*proxiedMember) {
	inUse := f.members[0].follower.Relays()
	for _, m := range f.members {
		if slices.Contains(inUse, m.follower.cfg.Self) {
			relays = append(relays, m)
		} else {
			others = append(others, m)
		}
	}
	return relays, others
}

// TestChangesArriveThoughRelaysAreLost guards against nodes that go on using a target
// that is gone, or a replaced configuration, because the relays that they heard of it
// from fall silent or lose the store at that moment, without a sign.
func TestChangesArriveThoughRelaysAreLost(t *testing.T) {
	losses := map[string]func(relay *proxiedMember){
		"relays fall silent":    func(relay *proxiedMember) { silence(relay.inbound) },
		"relays lose the store": func(relay *proxiedMember) { silence(relay.store) },
		"relays are cut off": func(relay *proxiedMember) {
			silence(relay.inbound)
			silence(relay.store)
		},
	}
	for name, lose := range losses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := startProxiedFleet(t, 10)
			relays, others := fleet.relays()
			qt.Assert(t, relays, qt.HasLen, 2)
			for _, m := range relays {
				lose(m)
			}
			put(t, fleet.client, 2)
			fleet.standin.Store.ExpireLeases()
			changed := time.Now()
			for _, m := range others {
				left := func() time.Duration { return propagationLimit - time.Since(changed) }
				await(t, m.follower.cfg.Self.Name+" drops the target that is gone", left(), func() bool { return !m.lists("leased") })
				await(t, m.follower.cfg.Self.Name+" has the configuration", left(), func() bool { return m.replica.View().Config.Revision == 2 })
			}
		})
	}
}
