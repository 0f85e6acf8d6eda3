package node

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/config/static"
	"filbertmill.example/exchange"
	"filbertmill.example/once"
)

// Node is one process of the fleet.
type Node struct {
	settings   *static.Settings
	log        hclog.Logger
	client     *exchange.Client
	control    *controlLoop
	routes     atomic.Pointer[routeTable]
	membership *membership
	stats      *stats
	reports    *reports
	inForce    configInForce
	// self identifies this run of the process to homes and witnesses.
	self     once.Member
	tenures  tenureStore
	copies   *copyTransfers
	lastID   atomic.Uint64
	inFlight atomic.Int64
	draining atomic.Bool
	// refusing is set when the drain delay has passed: the node then refuses
	// new requests of callers.
	refusing atomic.Bool
	ready    atomic.Bool

	// limits limits what the connections of callers hold.
	limits  *callerLimits
	callers *listener
	peers   *listener
	admin   *listener
}

// New returns a node that is not yet running. It fails if it cannot listen on
// one of its addresses.
func New(settings *static.Settings, cfg *dynamic.Config, log hclog.Logger) (*Node, error) {
	n := &Node{
		settings: settings,
		log:      log,
		client:   exchange.NewClient(exchange.Options{Name: settings.Name}),
		stats:    newStats(),
		reports:  newReports(settings.EventRing, time.Now()),
		self:     once.Member{Name: settings.Name, Incarnation: rand.Uint64()},
		copies:   newCopyTransfers(),
	}
	n.inForce.effective = n.applyEffective
	n.control = newControlLoop(n, seedOf(settings.Name))
	n.routes.Store(&routeTable{})
	var err error
	if n.limits, err = newCallerLimits(settings.MemoryMB, settings.Descriptors); err != nil {
		return nil, err
	}
	if n.membership, err = newMembership(n, initialDocument(cfg)); err != nil {
		return nil, err
	}
	n.connectReports(n.membership.transport)
	n.membership.transport.Handle(kindProbe, n.handleProbe)
	n.connectWitness(n.membership.transport)
	n.connectPoison(n.membership.transport)
	if err := n.listen(); err != nil {
		n.closeListeners()
		n.membership.close()
		return nil, err
	}
	return n, nil
}

// listen opens the node's listeners.
func (n *Node) listen() error {
	var err error
	if n.callers, err = listen("callers", n.settings.CallerAddress, streaming, n.limits, n.recordPanic); err != nil {
		return err
	}
	n.callers.engine.NoRoute(n.handleCaller)
	if n.peers, err = listen("peers", n.settings.PeerAddress, streaming, nil, n.recordPanic); err != nil {
		return err
	}
	n.peers.engine.NoRoute(n.handlePeer)
	if n.admin, err = listen("admin", n.settings.AdminAddress, buffered, nil, n.recordPanic); err != nil {
		return err
	}
	n.adminRoutes(n.admin.engine)
	return nil
}

// CallerAddress returns the address on which callers are served.
func (n *Node) CallerAddress() net.Addr { return n.callers.addr }

// AdminAddress returns the address on which operators are served.
func (n *Node) AdminAddress() net.Addr { return n.admin.addr }

// recordPanic counts and logs a panic that ended one connection. The process
// keeps running, because other connections depend on it.
func (n *Node) recordPanic(value any, stack []byte) {
	n.stats.panics.Add(1)
	n.log.Error("panic", "value", value, "stack", string(stack))
}

// applyEffective brings a configuration into force in which the exceptions are
// already applied.
func (n *Node) applyEffective(cfg *dynamic.Config) {
	n.retainBurn(cfg)
	n.routes.Store(newRouteTable(cfg))
	n.control.send(configCommand{config: cfg})
}

// Run serves until the context ends, then drains. It returns when no request is
// in flight or the drain timeout has passed.
func (n *Node) Run(ctx context.Context) error {
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	go n.control.run(controlCtx)
	failed := make(chan error, 4)
	var serving sync.WaitGroup
	fleetCtx, stopFleet := context.WithCancel(context.Background())
	defer stopFleet()
	serving.Go(func() { failed <- n.membership.run(fleetCtx) })
	for _, l := range []*listener{n.callers, n.peers, n.admin} {
		serving.Go(func() { failed <- l.engine.Run() })
	}
	n.ready.Store(true)
	n.log.Info("serving", "callers", n.callers.addr.String(), "peers", n.peers.addr.String(), "admin", n.admin.addr.String())
	var err error
	select {
	case <-ctx.Done():
		n.drain()
		n.handOverBurn()
	case err = <-failed:
		err = errors.Wrap(err, "a listener ended")
	}
	n.closeListeners()
	n.client.CloseIdle()
	return err
}

// closeListeners closes the listeners that were opened.
func (n *Node) closeListeners() {
	for _, l := range []*listener{n.callers, n.peers, n.admin} {
		if l != nil {
			l.close()
		}
	}
}
