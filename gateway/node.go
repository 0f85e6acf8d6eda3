package gateway

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/exchange"
	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/follow"
	"filbertmill.example/gateway/homes"
	"filbertmill.example/gateway/ingress"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
	"filbertmill.example/retry"
)

const (
	// dialTimeout bounds the opening of a connection to a target.
	dialTimeout = 300 * time.Millisecond
	// targetIdleTimeout is how long an unused connection to a target is kept if
	// the target does not say how long it keeps it.
	targetIdleTimeout = 8 * time.Second
	// maxIdleConnections bounds the unused connections to one target.
	maxIdleConnections = 8
)

// Node is one process of the fleet.
type Node struct {
	settings *platform.Settings
	log      hclog.Logger
	// run and runNumber tell this run of the process from others.
	run       string
	runNumber uint64
	store     *platform.Client
	replica   *replica.Replica
	follower  *follow.Follower
	transport *control.Transport
	// shared decides for the fleet where this node is a home, alone for this
	// node while no home answers.
	shared  *balance.Loop
	alone   *balance.Loop
	homes   *homes.Client
	targets *exchange.Client
	// memory bounds the answers held; held has the holds of requests in work by
	// *protocol.Request.
	memory   *exchange.Memory
	held     sync.Map
	callers  *ingress.Server
	control  net.Listener
	ready    *readiness
	stats    *stats
	attempts atomic.Uint64
	paths    *paths
	draining atomic.Bool
	// refusing says that the drain has gone too far for new requests, and leaving
	// is closed when the work that is left has to end.
	refusing atomic.Bool
	leaving  chan struct{}
}

// New returns a node that is not yet running. It fails if an address cannot be
// listened on.
func New(settings *platform.Settings, log hclog.Logger) (*Node, error) {
	n := &Node{
		settings: settings,
		log:      log,
		replica:  replica.New(log),
		stats:    newStats(),
		paths:    newPaths(),
		leaving:  make(chan struct{}),
		memory:   answerMemory(settings.Resources),
	}
	n.runNumber = rand.Uint64()
	n.run = settings.Name + "/" + strconv.FormatUint(n.runNumber, 36)
	n.store = platform.NewClient(settings.StoreAddress, n.stats.countStoreCall)
	n.targets = exchange.NewClient(exchange.Options{
		DialTimeout: dialTimeout, IdleTimeout: targetIdleTimeout, MaxIdle: maxIdleConnections,
		Echo: exchange.EchoOwn, EchoHeader: platform.HeaderRequestID,
	})
	if err := n.joinFleet(); err != nil {
		return nil, err
	}
	var err error
	if n.callers, err = ingress.Listen(settings.CallerAddress, n, n); err != nil {
		return nil, err
	}
	if n.control, err = net.Listen("tcp", settings.ControlAddress); err != nil {
		return nil, errors.Wrap(err, "listen for nodes")
	}
	if n.ready, err = listenReady(settings.ReadyAddress, n.isReady, func(v any, stack []byte) { n.caught(v, stack) }); err != nil {
		return nil, err
	}
	return n, nil
}

// joinFleet prepares what this node does with others.
func (n *Node) joinFleet() error {
	s := n.settings
	var err error
	n.transport, err = control.New(control.Config{Name: s.Name, Key: fleetKey[:], Seed: xxhash.Sum64String(s.Name)})
	if err != nil {
		return err
	}
	n.follower = follow.New(follow.Config{
		Store: n.store, Replica: n.replica, Transport: n.transport, Log: n.log,
		Self: replica.Node{
			Name: s.Name, AvailabilityZone: s.AvailabilityZone, ControlAddress: s.ControlAddress,
			CPUShare: s.Resources.CPUShare, LinkMbps: s.Resources.LinkMbps,
		},
		Seeds: s.Seeds, FirstStart: s.FirstStart,
	})
	retries := retry.Bound{Window: s.Bounds.RetryWindow, Ratio: s.Bounds.RetryRatio, Extra: s.Bounds.RetryExtra}
	cfg := balance.Config{
		FloorShare: s.Bounds.FloorShare,
		TokenLife:  retries.Life(),
		Seed:       xxhash.Sum64String(s.Name),
		Log:        n.log,
		Stats:      n.stats.second,
	}
	n.shared, n.alone = balance.New(cfg), balance.New(cfg)
	n.homes = homes.NewClient(homes.Config{
		Self: s.Name, Relays: n.follower, Transport: n.transport, Fleet: n.follower, Retries: retries,
		Shared: n.shared, Alone: n.alone, Log: n.log,
	})
	homes.Serve(n.shared, n.transport)
	return nil
}

// fleetKey is the key by which nodes know each other. The platform hands out no
// secret and no name of the deployment, and the store's address may differ from
// node to node: the key keeps out what does not speak the protocol, not attackers.
var fleetKey = sha256.Sum256([]byte("filbertmill gateway"))

// Run serves until the context ends or a listener fails, then drains.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 3)
	var tasks sync.WaitGroup
	tasks.Go(func() { n.shared.Run(work) })
	tasks.Go(func() { n.alone.Run(work) })
	tasks.Go(func() { n.follower.Run(work) })
	tasks.Go(func() { n.spreadViews(work) })
	tasks.Go(func() { n.homes.Run(work, n.services) })
	go func() { failed <- n.callers.Run() }()
	go func() { failed <- n.ready.run() }()
	go func() { failed <- n.transport.Serve(n.control) }()
	n.publishState()
	n.log.Info("started", "run", n.run, "callers", n.settings.CallerAddress, "store", n.settings.StoreAddress)
	var err error
	select {
	case <-ctx.Done():
		n.drain()
	case err = <-failed:
		err = errors.Wrap(err, "a listener ended")
		n.log.Error("draining, since a listener ended", "error", err)
		n.drain()
	}
	n.targets.CloseIdle()
	n.logUnfinished()
	ledger := n.callers.Stats()
	n.log.Info("stopped", "run", n.run, "unanswered", n.callers.InFlight(), "read", ledger.Read, "passed", ledger.Handled,
		"answered", ledger.Ended[ingress.Answered])
	return err
}

// spreadViews hands each new view to the Loop.
func (n *Node) spreadViews(ctx context.Context) {
	for {
		changed := n.replica.Changed()
		view := n.replica.View()
		n.shared.SetView(view)
		n.alone.SetView(view)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// services returns the names of the services of the configuration in force.
func (n *Node) services() []string {
	cfg := n.replica.View().Config
	if cfg == nil {
		return nil
	}
	names := make([]string, len(cfg.Services))
	for i, s := range cfg.Services {
		names[i] = s.Name
	}
	return names
}

// isReady reports whether new connections are welcome.
func (n *Node) isReady() bool {
	return !n.draining.Load() && n.replica.View().Config != nil
}
