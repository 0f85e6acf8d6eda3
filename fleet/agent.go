package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/event"
	"filbertmill.example/fleet/control"
	"filbertmill.example/platform"
)

// Transport carries messages between nodes. control.Transport implements it.
type Transport interface {
	// Handle sets the handler of a kind of message.
	Handle(kind control.Kind, h control.Handler)
	// Send sends a message and waits for no reply.
	Send(ctx context.Context, to control.Peer, kind control.Kind, msg any) error
	// Call sends a message and decodes the answer into reply.
	Call(ctx context.Context, to control.Peer, kind control.Kind, msg, reply any) error
}

// Config holds what an Agent needs.
type Config struct {
	// Self is this node.
	Self control.Peer
	// Seeds are the nodes to contact first; they may include this node.
	Seeds []control.Peer
	// Transport carries the messages.
	Transport Transport
	// Store and Hosts are the store and the host list of the platform; either
	// may be nil.
	Store platform.Store
	Hosts platform.HostList
	// Initial is a configuration to start with, for fleets without a store.
	Initial *Document
	// Parse validates a document and returns the configuration in it.
	Parse func(Document) (*dynamic.Config, error)
	// Apply brings a configuration into force; it must not block.
	Apply func(*dynamic.Config)
	// ListLoads returns the services and shards that need homes.
	ListLoads func(*dynamic.Config) []Load
	// Events records decisions; it may be nil.
	Events event.Sink
	// Timing holds the intervals; the zero value means DefaultTiming.
	Timing Timing
	// Seed and the time passed to NewAgent seed the random choices, which makes
	// them repeatable.
	Seed uint64
}

// configuration is the document in force, its parsed form and the most recent
// documents that it replaced.
type configuration struct {
	document Document
	config   *dynamic.Config
	replaced []Document
	packed   packCache
}

// Agent takes part in the fleet on behalf of one node. Its exported methods are
// safe for concurrent use; Run is called once. The goroutine that executes Run,
// the control goroutine, owns the mutable state. Other goroutines send it
// commands.
type Agent struct {
	cfg      Config
	timing   Timing
	commands chan func(now time.Time)
	ended    chan struct{}
	tasks    sync.WaitGroup
	pinger   pinger
	view     atomic.Pointer[View]
	inForce  atomic.Pointer[configuration]
	ready    atomic.Pointer[Readiness]

	// The control goroutine owns the fields below.

	ctx        context.Context
	rng        *rand.Rand
	table      *table
	self       Member
	avoidances avoidances
	loads      []Load
	// highest is the newest version known to exist anywhere in the fleet.
	highest Version
	// joined is set once an attempt to join has succeeded; reachedPeer is set
	// once a peer has answered one.
	joined      bool
	reachedPeer bool
	joinProblem string
	// pauseEpoch counts how often this node was suspended. The failure of a call
	// that began before a suspension is no evidence against another member.
	pauseEpoch int
	schedule   schedule
	// sampledPartners are the gossip partners chosen at random; exchangeRound
	// selects the next partner in turn.
	sampledPartners []Member
	exchangeRound   int
	// probing holds the names of the members with an indirect probe in progress.
	probing     map[string]bool
	lastContact time.Time
	// catchingUp is set from the end of a pause until the node has the newest
	// configuration in force.
	catchingUp bool
	// fetching is set while a configuration is fetched from a peer; offers maps
	// members to the newer versions that they have in force.
	fetching bool
	offers   map[string]Version
	rejected map[Version]bool
	// The generations are those of the table from which the view, ringMembers
	// and watcher were computed. watch is nil while this node does not watch
	// the store.
	viewGeneration    int
	watch             *watch
	ringGeneration    int
	ringMembers       []Member
	watcherGeneration int
	watcher           bool
}

// Readiness reports whether the node may serve.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason states why the node is not ready; empty if it is.
	Reason string `json:"reason,omitempty"`
}

// NewAgent returns an Agent, which starts to take part in the fleet when Run is
// called. NewAgent registers the handlers on the transport. Messages that need
// the control goroutine wait until Run is called.
func NewAgent(cfg Config, now time.Time) *Agent {
	if cfg.Timing == (Timing{}) {
		cfg.Timing = DefaultTiming()
	}
	a := &Agent{
		cfg:         cfg,
		timing:      cfg.Timing,
		commands:    make(chan func(time.Time), commandBuffer),
		ended:       make(chan struct{}),
		rng:         rand.New(rand.NewPCG(cfg.Seed, uint64(now.UnixNano()))),
		table:       newTable(),
		self:        Member{Peer: cfg.Self, Incarnation: uint64(now.UnixNano())},
		avoidances:  make(avoidances),
		probing:     make(map[string]bool),
		offers:      make(map[string]Version),
		rejected:    make(map[Version]bool),
		lastContact: now,
	}
	a.table.apply(a.self, now)
	a.ready.Store(&Readiness{Reason: "starting"})
	a.inForce.Store(&configuration{})
	a.buildView()
	a.register()
	return a
}

// Run takes part in the fleet until the context ends.
func (a *Agent) Run(ctx context.Context) {
	defer a.tasks.Wait()
	defer close(a.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.ctx = ctx
	now := time.Now()
	if a.cfg.Initial != nil {
		a.startFromSettings(now)
	}
	a.startSchedule(now)
	ticker := time.NewTicker(a.timing.Tick)
	defer ticker.Stop()
	last := now
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-a.commands:
			last = a.detectPause(last)
			fn(last)
		case <-ticker.C:
			last = a.detectPause(last)
			a.tick(last)
		}
		a.updateReadiness()
	}
}

// startFromSettings brings the initial configuration into force, records the
// seeds as members and counts the node as joined. Newer information from other
// nodes replaces both.
func (a *Agent) startFromSettings(now time.Time) {
	a.joined = true
	for _, p := range a.cfg.Seeds {
		a.applyRecord(Member{Peer: p}, now)
	}
	a.applyIfNewer(a.parse(*a.cfg.Initial), "settings", now)
}

// View returns the node's current view of the fleet.
func (a *Agent) View() *View { return a.view.Load() }

// Ready reports whether the node may serve.
func (a *Agent) Ready() Readiness { return *a.ready.Load() }

// Configuration returns the configuration in force and its document. The
// configuration is nil if none is in force.
func (a *Agent) Configuration() (*dynamic.Config, Document) {
	c := a.inForce.Load()
	return c.config, c.document
}

// ReportUnresponsive records that a member did not respond to a request. This
// node avoids the member for a limited time and does not notify other nodes.
func (a *Agent) ReportUnresponsive(name string) {
	a.post(func(now time.Time) {
		a.avoidances.recordFailure(name, now)
		a.refreshAvoided()
	})
}

// Leave announces that the node is leaving, so that its services get other
// homes before it stops. It returns when the gossip partners have been
// notified, or when the context or the Agent ends.
func (a *Agent) Leave(ctx context.Context) {
	notified := make(chan struct{})
	if !a.post(func(now time.Time) { a.announceDeparture(now, notified) }) {
		return
	}
	select {
	case <-notified:
	case <-ctx.Done():
	case <-a.ended:
	}
}

// post queues fn to run on the control goroutine. It returns false if the
// control goroutine has ended.
func (a *Agent) post(fn func(now time.Time)) bool {
	select {
	case a.commands <- fn:
		return true
	case <-a.ended:
		return false
	}
}

// query runs fn on the control goroutine and returns its result. If ctx ends
// first, fn may still run and its result is discarded; fn must therefore not
// write to variables of the caller.
func query[T any](ctx context.Context, a *Agent, fn func(now time.Time) T) (T, error) {
	var none T
	reply := make(chan T, 1)
	if !a.post(func(now time.Time) { reply <- fn(now) }) {
		return none, control.ErrClosed
	}
	select {
	case v := <-reply:
		return v, nil
	case <-a.ended:
		return none, control.ErrClosed
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// spawn runs a task that may block in a goroutine of its own, with the Agent's
// context. Only the control goroutine may call it.
func (a *Agent) spawn(task func(ctx context.Context)) {
	ctx := a.ctx
	a.tasks.Go(func() { task(ctx) })
}

// emit records an event under this node's name.
func (a *Agent) emit(e event.Event) {
	if a.cfg.Events != nil {
		e.Node = a.cfg.Self.Name
		a.cfg.Events.Emit(e)
	}
}
