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
	"golang.org/x/time/rate"

	"filbertmill.example/exchange"
	"filbertmill.example/exchange/account"
	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/follow"
	"filbertmill.example/gateway/homes"
	"filbertmill.example/gateway/ingress"
	"filbertmill.example/gateway/quota"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
	"filbertmill.example/retry"
)

const (
	// dialTimeout limits the time to open a connection to a target.
	dialTimeout = 300 * time.Millisecond
	// targetIdleTimeout is how long an unused connection to a target is kept if
	// the target does not announce its own idle timeout.
	targetIdleTimeout = 8 * time.Second
	// maxIdleConnections limits the unused connections to one target.
	maxIdleConnections = 8
)

// Node is one proxy process of the fleet.
type Node struct {
	settings *platform.Settings
	log      hclog.Logger
	// runID and runNumber identify this run of the process. They are drawn anew at
	// each start.
	runID     string
	runNumber uint64
	store     *platform.Client
	replica   *replica.Replica
	follower  *follow.Follower
	transport *control.Transport
	// shared assigns targets for the whole fleet to the services of which this node
	// is the home. fallback assigns targets for this node alone while no home answers.
	shared   *balance.Loop
	fallback *balance.Loop
	homes    *homes.Client
	// quotas admits requests within the quotas of their workspaces.
	quotas  *quota.Client
	targets *exchange.Client
	// room limits the memory that callers hold to what the node itself leaves.
	room *account.Room
	// memory limits the memory of answers. answerReservations maps the
	// *protocol.Request of each request in flight to its *answerReservations.
	memory             *exchange.MemoryBudget
	answerReservations sync.Map
	callers            *ingress.Server
	control            net.Listener
	ready              *readiness
	stats              *stats
	attempts           atomic.Uint64
	unreachable        *unreachableTargets
	pauses             *targetPauses
	splits             splitter
	refused            refusals
	// adviceLog limits the lines about unusable advice of targets.
	adviceLog rate.Sometimes
	draining  atomic.Bool
	// refusing is set once the drain is too far advanced to accept new requests.
	// abort is closed when the requests in flight are aborted.
	refusing atomic.Bool
	abort    chan struct{}
	// abortAt is when that will be; it is nil before the drain.
	abortAt atomic.Pointer[time.Time]
}

// New returns a node that is not yet running. It fails if it cannot listen on an
// address.
func New(settings *platform.Settings, log hclog.Logger) (*Node, error) {
	n := &Node{
		settings:    settings,
		log:         log,
		replica:     replica.New(log),
		stats:       newStats(),
		unreachable: newUnreachableTargets(),
		pauses:      newTargetPauses(),
		abort:       make(chan struct{}),
		adviceLog:   rate.Sometimes{First: 3, Interval: adviceLogInterval},
	}
	var callers *account.Account
	n.room, callers = account.NewRoom(RuntimeMemory(settings.Resources))
	n.room.Watch()
	n.memory = answerMemory(settings.Resources, callers)
	n.runNumber = rand.Uint64()
	n.runID = settings.Name + "/" + strconv.FormatUint(n.runNumber, 36)
	n.store = platform.NewClient(settings.StoreAddress, n.stats.countStoreCall)
	n.targets = exchange.NewClient(exchange.Options{
		DialTimeout: dialTimeout, IdleTimeout: targetIdleTimeout, MaxIdle: maxIdleConnections,
		Echo: exchange.EchoRequestHeader, EchoHeader: platform.HeaderRequestID,
	})
	if err := n.setUpFleet(); err != nil {
		return nil, err
	}
	var err error
	if n.callers, err = ingress.Listen(settings.CallerAddress, n, n, callerResources(settings.Resources, callers)); err != nil {
		return nil, err
	}
	if n.control, err = net.Listen("tcp", settings.ControlAddress); err != nil {
		return nil, errors.Wrap(err, "listen for nodes")
	}
	if n.ready, err = listenReady(settings.ReadyAddress, n.isReady, n.serveWhere, func(v any, stack []byte) { n.logPanic(v, stack) }); err != nil {
		return nil, err
	}
	return n, nil
}

// setUpFleet sets up the communication with the other nodes of the fleet.
func (n *Node) setUpFleet() error {
	s := n.settings
	var err error
	n.transport, err = control.New(control.Config{
		Name: s.Name, Key: fleetKey[:], Seed: xxhash.Sum64String(s.Name), OnTraffic: n.countMessage,
	})
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
		Stats:      n.stats.balance,
	}
	n.shared, n.fallback = balance.New(cfg), balance.New(cfg)
	n.homes = homes.NewClient(homes.Config{
		Self: s.Name, Relays: n.follower, Transport: n.transport, Fleet: n.follower, Retries: retries,
		Shared: n.shared, Fallback: n.fallback, Listed: n.isListed, Log: n.log,
	})
	homes.Serve(n.shared, n.transport)
	bound := quota.Bound{Window: s.Bounds.QuotaWindow, Overage: s.Bounds.QuotaOverage, Slack: s.Bounds.QuotaSlack}
	ledger := quota.NewLedger(s.Name, bound, n.quotaOf)
	n.quotas = quota.NewClient(quota.Config{
		Self: s.Name, Bound: bound, Fleet: n.follower, Caller: n.transport, Ledger: ledger,
		InForce: n.quotasInForce, Log: n.log, Stats: n.stats.quotas,
	})
	quota.Serve(ledger, n.transport)
	return nil
}

// fleetKey is the key with which nodes authenticate to each other. The platform
// provides neither a secret nor a name of the deployment, and the store's address
// may differ from node to node. The key therefore keeps out peers that do not speak
// the protocol, but does not protect from attackers.
var fleetKey = sha256.Sum256([]byte("filbertmill gateway"))

// Run serves until the context ends or a listener fails, then drains.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	failed := make(chan error, 3)
	var tasks sync.WaitGroup
	tasks.Go(func() { n.shared.Run(work) })
	tasks.Go(func() { n.fallback.Run(work) })
	tasks.Go(func() { n.follower.Run(work) })
	tasks.Go(func() { n.distributeViews(work) })
	tasks.Go(func() { n.homes.Run(work, n.services) })
	tasks.Go(func() { n.quotas.Run(work) })
	go func() { failed <- n.callers.Run() }()
	go func() { failed <- n.ready.run() }()
	go func() { failed <- n.transport.Serve(n.control) }()
	n.publishState()
	n.log.Info("started", "run", n.runID, "callers", n.settings.CallerAddress, "store", n.settings.StoreAddress)
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
	n.logUnanswered()
	stats := n.callers.Stats()
	n.log.Info("stopped", "run", n.runID, "unanswered", n.callers.InFlight(), "read", stats.Read, "passed", stats.Handled,
		"answered", stats.Ended[ingress.Answered])
	return err
}

// distributeViews passes each new view of configuration and targets to both Loops.
func (n *Node) distributeViews(ctx context.Context) {
	for {
		changed := n.replica.Changed()
		view := n.replica.View()
		n.shared.SetView(view)
		n.fallback.SetView(view)
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

// isListed reports whether a target of a service is listed.
func (n *Node) isListed(service, target string) bool {
	_, listed := n.replica.View().Target(service, target)
	return listed
}

// isReady reports whether the node accepts new connections: it has a configuration
// and is not draining.
func (n *Node) isReady() bool {
	return !n.draining.Load() && n.replica.View().Config != nil
}
