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

// Transport carries messages between nodes; control.Transport is one.
type Transport interface {
	// Handle sets the handler of a kind of message.
	Handle(kind control.Kind, h control.Handler)
	// Send delivers a message without a reply.
	Send(ctx context.Context, to control.Peer, kind control.Kind, msg any) error
	// Call delivers a message and decodes the answer into reply.
	Call(ctx context.Context, to control.Peer, kind control.Kind, msg, reply any) error
}

// Config holds what an Agent needs.
type Config struct {
	// Self is this node.
	Self control.Peer
	// Seeds are nodes to contact first; they may include this node.
	Seeds []control.Peer
	// Transport carries the messages.
	Transport Transport
	// Store and Hosts are the platform's; either may be nil.
	Store platform.Store
	Hosts platform.HostList
	// Initial is a configuration to start with, for fleets without a store.
	Initial *Document
	// Parse checks a document and returns what it configures.
	Parse func(Document) (*dynamic.Config, error)
	// Apply brings a configuration into force; it must not block.
	Apply func(*dynamic.Config)
	// ListLoads lists the services and shards that need homes.
	ListLoads func(*dynamic.Config) []Load
	// Events records decisions.
	Events event.Sink
	// Timing holds the intervals; the zero value means DefaultTiming.
	Timing Timing
	// Seed makes the random choices repeatable.
	Seed uint64
}

// configuration is a document in force together with its parsed form and those
// that it replaced.
type configuration struct {
	document Document
	parsed   *dynamic.Config
	replaced []Document
	packed   packCache
}

// Agent takes part in a fleet on behalf of one node. Its control goroutine
// owns the fields below the line; View, Ready and Configuration are safe for
// any goroutine.
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

	// Owned by the control goroutine.
	ctx          context.Context
	rng          *rand.Rand
	table        *table
	self         Member
	observations observations
	loads        []Load
	highest      Version
	joined       bool
	introduced   bool
	joinProblem  string
	epoch        int
	schedule     schedule
	random       []Member
	turn         int
	probing      map[string]bool
	lastContact  time.Time
	catchingUp   bool
	fetching     bool
	offers       map[string]Version
	rejected     map[Version]bool
	builtChanges int
	watch        *watch
	ringChanges  int
	ringMembers  []Member
	rankChanges  int
	rankWatches  bool
}

// Readiness says whether the node may serve, and if not, why.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// NewAgent returns an Agent that Run starts. It registers its handlers on the
// transport at once; messages wait until then.
func NewAgent(cfg Config, now time.Time) *Agent {
	if cfg.Timing == (Timing{}) {
		cfg.Timing = DefaultTiming()
	}
	a := &Agent{
		cfg:          cfg,
		timing:       cfg.Timing,
		commands:     make(chan func(time.Time), commandBuffer),
		ended:        make(chan struct{}),
		rng:          rand.New(rand.NewPCG(cfg.Seed, uint64(now.UnixNano()))),
		table:        newTable(),
		self:         Member{Peer: cfg.Self, Incarnation: uint64(now.UnixNano())},
		observations: make(observations),
		probing:      make(map[string]bool),
		offers:       make(map[string]Version),
		rejected:     make(map[Version]bool),
		lastContact:  now,
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
			last = a.noticePause(last)
			fn(last)
		case <-ticker.C:
			last = a.noticePause(last)
			a.tick(last)
		}
		a.updateReadiness()
	}
}

// startFromSettings takes the configuration and the seeds of the settings for
// good until something newer is heard.
func (a *Agent) startFromSettings(now time.Time) {
	a.joined = true
	for _, p := range a.cfg.Seeds {
		a.learn(Member{Peer: p}, now)
	}
	a.consider(a.parse(*a.cfg.Initial), "settings", now)
}

// View returns what the node believes now.
func (a *Agent) View() *View { return a.view.Load() }

// Ready says whether the node may serve.
func (a *Agent) Ready() Readiness { return *a.ready.Load() }

// Configuration returns the configuration in force, or nil, and its document.
func (a *Agent) Configuration() (*dynamic.Config, Document) {
	c := a.inForce.Load()
	return c.parsed, c.document
}

// ReportUnresponsive records that a member did not respond to a request. The node
// avoids it for a while; nobody else is told.
func (a *Agent) ReportUnresponsive(name string) {
	a.post(func(now time.Time) {
		a.observations.fail(name, now)
		a.refreshAvoided()
	})
}

// Leave announces that the node is going away, so that its homes move before
// it stops. It returns when partners were told, or with the context.
func (a *Agent) Leave(ctx context.Context) {
	told := make(chan struct{})
	if !a.post(func(now time.Time) { a.announceDeparture(now, told) }) {
		return
	}
	select {
	case <-told:
	case <-ctx.Done():
	case <-a.ended:
	}
}

// post has the control goroutine run fn; it reports false if that has ended.
func (a *Agent) post(fn func(now time.Time)) bool {
	select {
	case a.commands <- fn:
		return true
	case <-a.ended:
		return false
	}
}

// ask has the control goroutine run fn and returns its value. If the caller
// gives up, fn may still run; nothing but its value leaves it.
func ask[T any](ctx context.Context, a *Agent, fn func(now time.Time) T) (T, error) {
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

// spawn runs a task that may block; it gets the Agent's context. Only the
// control goroutine calls it.
func (a *Agent) spawn(task func(ctx context.Context)) {
	ctx := a.ctx
	a.tasks.Go(func() { task(ctx) })
}

func (a *Agent) emit(e event.Event) {
	if a.cfg.Events != nil {
		e.Node = a.cfg.Self.Name
		a.cfg.Events.Emit(e)
	}
}
