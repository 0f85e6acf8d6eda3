package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/exchange"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/follow"
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
	// run tells this run of the process from others on the same host.
	run      string
	store    *platform.Client
	replica  *replica.Replica
	follower *follow.Follower
	local    *balance.Loop
	// targets carries requests, probes health checks, whose answers name no request.
	targets  *exchange.Client
	probes   *exchange.Client
	callers  *ingress.Server
	ready    *readiness
	stats    *stats
	attempts atomic.Uint64
	draining atomic.Bool
}

// New returns a node that is not yet running. It fails if an address cannot be
// listened on.
func New(settings *platform.Settings, log hclog.Logger) (*Node, error) {
	n := &Node{
		settings: settings,
		log:      log,
		run:      settings.Name + "/" + strconv.FormatUint(rand.Uint64(), 36),
		replica:  replica.New(log),
		stats:    newStats(),
	}
	n.store = platform.NewClient(settings.StoreAddress, n.stats.countStoreCall)
	n.targets = exchange.NewClient(exchange.Options{
		DialTimeout: dialTimeout, IdleTimeout: targetIdleTimeout, MaxIdle: maxIdleConnections,
		Echo: exchange.EchoOwn, EchoHeader: platform.HeaderRequestID,
	})
	n.probes = exchange.NewClient(exchange.Options{DialTimeout: dialTimeout, Echo: exchange.EchoNone})
	n.follower = follow.New(follow.Config{Store: n.store, Replica: n.replica, Log: log})
	n.local = balance.New(balance.Config{
		FloorShare: settings.Bounds.FloorShare,
		Retries:    retry.Config{Share: settings.Bounds.RetryRatio, Floor: localRetryFloor},
		Seed:       xxhash.Sum64String(settings.Name),
		Probe:      n.probe,
		IsHome:     func(string) bool { return false },
		Log:        log,
	})
	var err error
	if n.callers, err = ingress.Listen(settings.CallerAddress, n); err != nil {
		return nil, err
	}
	if n.ready, err = listenReady(settings.ReadyAddress, n.isReady); err != nil {
		return nil, err
	}
	return n, nil
}

// localRetryFloor is the number of second attempts that a node grants in each
// window whatever its requests, while no home answers: the floors of all nodes
// together must stay within the fleet's.
const localRetryFloor = 1

// Run serves until the context ends, then drains.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 2)
	var tasks sync.WaitGroup
	tasks.Go(func() { n.local.Run(work) })
	tasks.Go(func() { n.follower.Run(work) })
	tasks.Go(func() { n.spreadViews(work) })
	go func() { failed <- n.callers.Run() }()
	go func() { failed <- n.ready.run() }()
	n.log.Info("started", "run", n.run, "callers", n.settings.CallerAddress, "store", n.settings.StoreAddress)
	var err error
	select {
	case <-ctx.Done():
		n.drain()
	case err = <-failed:
		err = errors.Wrap(err, "a listener ended")
	}
	n.targets.CloseIdle()
	n.log.Info("stopped", "run", n.run, "unanswered", n.callers.InFlight())
	return err
}

// spreadViews hands each new view to the Loop.
func (n *Node) spreadViews(ctx context.Context) {
	for {
		changed := n.replica.Changed()
		n.local.SetView(n.replica.View())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// isReady reports whether new connections are welcome.
func (n *Node) isReady() bool {
	return !n.draining.Load() && n.replica.View().Config != nil
}
