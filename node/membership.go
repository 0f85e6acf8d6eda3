package node

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"filbertmill.example/config/static"
	"filbertmill.example/fleet"
	"filbertmill.example/fleet/control"
	"filbertmill.example/platform"
)

// leaveTimeout limits the time to announce that the node leaves the fleet.
const leaveTimeout = 2 * time.Second

// membership is the node's membership in the fleet: its agent, and the transport
// and listener of control messages.
type membership struct {
	agent     *fleet.Agent
	transport *control.Transport
	listener  net.Listener
}

// newMembership opens the control listener and returns the node's membership,
// which becomes active with run.
func newMembership(n *Node, initial *fleet.Document) (*membership, error) {
	s := n.settings
	t, err := control.New(control.Config{Name: s.Name, Key: []byte(s.SharedKey), Seed: seedOf(s.Name)})
	if err != nil {
		return nil, err
	}
	m := &membership{transport: t}
	if m.listener, err = net.Listen("tcp", s.ControlAddress); err != nil {
		return nil, errors.Wrap(err, "listen for control messages")
	}
	cfg := fleet.Config{
		Self: control.Peer{
			Name: s.Name, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
			PeerAddress:    cmp.Or(s.AdvertisedPeerAddress, s.PeerAddress),
			ControlAddress: cmp.Or(s.AdvertisedControlAddress, m.listener.Addr().String()),
		},
		Seeds:     seedPeers(s),
		Transport: t,
		Initial:   initial,
		Parse:     parseDocument,
		Apply:     n.applyConfig,
		ListLoads: serviceLoads,
		Events:    n,
		Seed:      seedOf(s.Name),
	}
	if cfg.Store, cfg.Hosts, err = platformClients(s); err != nil {
		m.close()
		return nil, err
	}
	if cfg.Store != nil {
		n.tenures = cfg.Store
	}
	m.agent = fleet.NewAgent(cfg, time.Now())
	return m, nil
}

// platformClients returns the clients of the platform's store and host list. A
// client is nil if the settings have no URL for it.
func platformClients(s *static.Settings) (platform.Store, platform.HostList, error) {
	var store platform.Store
	var hosts platform.HostList
	if s.StoreURL != "" {
		c, err := platform.NewClientFromURL(s.StoreURL)
		if err != nil {
			return nil, nil, err
		}
		store = c
	}
	if s.HostListURL != "" {
		c, err := platform.NewClientFromURL(s.HostListURL)
		if err != nil {
			return nil, nil, err
		}
		hosts = c
	}
	return store, hosts, nil
}

func seedPeers(s *static.Settings) []control.Peer {
	out := make([]control.Peer, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		out = append(out, control.Peer{
			Name: seed.Name, AvailabilityZone: seed.AvailabilityZone,
			PeerAddress: seed.PeerAddress, ControlAddress: seed.ControlAddress,
		})
	}
	return out
}

// run keeps the node a member of the fleet until the context ends.
func (m *membership) run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- m.transport.Serve(m.listener) }()
	m.agent.Run(ctx)
	m.close()
	return <-served
}

// leave announces to the fleet that the node is shutting down.
func (m *membership) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	m.agent.Leave(ctx)
}

func (m *membership) close() {
	_ = m.transport.Close()
	_ = m.listener.Close()
}

// homes returns the nodes to try for a service: the home and its successors, in
// order.
func (n *Node) homes(service string) []fleet.Member {
	ranks := n.membership.agent.View().Homes(service)
	return ranks[:min(len(ranks), maxHomes)]
}

// suspect records that a node did not respond, so that this node tries others
// first.
func (n *Node) suspect(name string) { n.membership.agent.ReportUnresponsive(name) }

// seedOf derives the seed of a node's random number generators from its name.
func seedOf(name string) uint64 { return xxhash.Sum64String(name) }
