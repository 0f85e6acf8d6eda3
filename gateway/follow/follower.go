package follow

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

const (
	// maxRelays bounds the relays, one in each availability zone: each costs a
	// steady number of store calls.
	maxRelays = 5
	// relaysAsked is the number of relays that a node asks: one may be lost or
	// cut off from the store.
	relaysAsked = 2
	// manageInterval is how often a node reviews which relays it asks.
	manageInterval = 100 * time.Millisecond
	// freshAge is the age of the store's last confirmation above which what
	// relays tell is not relied on: changes must be in force within two seconds.
	freshAge = 1400 * time.Millisecond
	// relayTime is how long a node goes on watching the store after the last
	// question of another node.
	relayTime = 3 * time.Second
	// downMin and downMax bound the time for which a relay that failed is not
	// asked again.
	downMin = 500 * time.Millisecond
	downMax = 8 * time.Second
	// bootPatience is how long a node waits for a seed when the whole fleet
	// starts, and seedPatience when only it does, before it reads the store.
	bootPatience = 900 * time.Millisecond
	seedPatience = 100 * time.Millisecond
)

var (
	errLeaving  = errors.New("the relay is shutting down")
	errNoAnswer = errors.New("no answer as a home")
)

// Store is what a Follower needs of the platform's store.
type Store interface {
	Range(ctx context.Context, prefix, after string) (platform.Page, error)
	RangeAll(ctx context.Context, prefix string) ([]platform.Item, platform.Revision, error)
	WatchPrefix(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Item, platform.Revision, error)
	Txn(ctx context.Context, expect map[string]platform.Revision, puts []platform.Put) (platform.Revision, error)
}

// Config holds what a Follower needs.
type Config struct {
	Store     Store
	Replica   *replica.Replica
	Transport *control.Transport
	// Self is this node, as it registers.
	Self replica.Node
	// Seeds are control addresses of nodes to ask before any is known.
	Seeds []string
	// FirstStart says that the whole fleet is starting.
	FirstStart bool
	Log        hclog.Logger
}

// Follower brings what changes in the store into the replica, serves other
// nodes as a relay, and knows which relays live.
type Follower struct {
	cfg     Config
	started time.Time
	leaving atomic.Bool
	relays  atomic.Pointer[[]replica.Node]

	mu    sync.Mutex
	feeds map[string]*feed
	down  map[string]*outage
	// polled is when another node last asked; storeAt when the store last
	// confirmed this node's copy.
	polled  time.Time
	storeAt time.Time
	// listedAt is when this node first saw its own registration.
	listedAt time.Time
}

// outage is a relay that failed.
type outage struct {
	until time.Time
	wait  time.Duration
}

// New returns a Follower; Run makes it work.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg, started: time.Now(), feeds: make(map[string]*feed), down: make(map[string]*outage)}
	f.relays.Store(&[]replica.Node{})
	cfg.Transport.Handle(kindChanges, f.answer)
	return f
}

// Run follows the store, directly or through relays, until the context ends.
func (f *Follower) Run(ctx context.Context) {
	go f.followStore(ctx)
	go f.keepRegistered(ctx)
	ticker := time.NewTicker(manageInterval)
	defer ticker.Stop()
	for {
		f.manage(ctx, time.Now())
		changed := f.cfg.Replica.Changed()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

// Leave tells the nodes that ask this one to turn to others.
func (f *Follower) Leave() { f.leaving.Store(true) }

// Relays returns the relays in use, this node included if it is one.
func (f *Follower) Relays() []replica.Node { return *f.relays.Load() }

// Suspect notes that a relay did not answer; it does not count until it does.
func (f *Follower) Suspect(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fd := f.feeds[name]; fd != nil {
		fd.heard = time.Time{}
	} else {
		f.fail(name, errNoAnswer)
	}
	f.publish(time.Now())
}

// manage starts and stops asking relays.
func (f *Follower) manage(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := f.asked(now)
	for name, fd := range f.feeds {
		if !slices.Contains(asked, fd.node) {
			fd.cancel()
			delete(f.feeds, name)
		}
	}
	for _, n := range asked {
		if f.feeds[n.Name] == nil {
			f.begin(ctx, n)
		}
	}
	f.publish(now)
}

// candidates returns the relays: the best ranked node of each zone that has
// not failed, or the seeds while few nodes are known. Trials are better ranked
// ones that have failed and are due to be asked again; they displace nobody.
func (f *Follower) candidates(now time.Time) (relays, trials []replica.Node) {
	known := Order(f.cfg.Replica.View().Nodes)
	if len(known) < relaysAsked {
		known = append(known, f.seeds(known)...)
	}
	taken := make(map[string]bool)
	for _, n := range known {
		o := f.down[n.Name]
		switch {
		case taken[n.AvailabilityZone] || (n.Name == f.cfg.Self.Name && f.leaving.Load()):
		case o != nil && !now.Before(o.until):
			trials = append(trials, n)
		case o == nil:
			relays = append(relays, n)
			// Seeds have no zone: all of them are asked.
			taken[n.AvailabilityZone] = n.AvailabilityZone != ""
		}
		if len(relays) == maxRelays {
			break
		}
	}
	return relays, trials
}

// asked returns the relays that this node asks: that of its own zone first.
func (f *Follower) asked(now time.Time) []replica.Node {
	relays, trials := f.candidates(now)
	relays = slices.DeleteFunc(relays, func(n replica.Node) bool { return n.Name == f.cfg.Self.Name })
	slices.SortStableFunc(relays, func(a, b replica.Node) int {
		return cmp.Or(f.far(a)-f.far(b), cmp.Compare(hash(f.cfg.Self.Name+a.Name), hash(f.cfg.Self.Name+b.Name)))
	})
	if relays = relays[:min(len(relays), relaysAsked)]; len(trials) > relaysAsked {
		trials = trials[:relaysAsked]
	}
	return append(relays, trials...)
}

// far is 1 for a node of another availability zone, else 0.
func (f *Follower) far(n replica.Node) int {
	if n.AvailabilityZone == f.cfg.Self.AvailabilityZone {
		return 0
	}
	return 1
}

// seeds returns the seeds that are not among the known nodes. Their names are
// not known: they are called by their addresses.
func (f *Follower) seeds(known []replica.Node) []replica.Node {
	var list []replica.Node
	for _, address := range f.cfg.Seeds {
		same := func(n replica.Node) bool { return n.ControlAddress == address }
		if address != f.cfg.Self.ControlAddress && !slices.ContainsFunc(known, same) {
			list = append(list, replica.Node{Name: address, ControlAddress: address})
		}
	}
	return list
}

// begin starts asking a relay.
func (f *Follower) begin(ctx context.Context, n replica.Node) {
	ctx, cancel := context.WithCancel(ctx)
	fd := &feed{node: n, cancel: cancel, wait: nearWait}
	if f.far(n) == 1 {
		fd.wait = farWait
	}
	f.feeds[n.Name] = fd
	go func() {
		err := f.ask(ctx, n, fd.wait)
		cancel()
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.feeds[n.Name] != fd {
			return
		}
		delete(f.feeds, n.Name)
		f.fail(n.Name, err)
		f.publish(time.Now())
	}()
}

// fail keeps a relay from being asked for a time that grows with each time that
// it was asked in vain. What fails while it is not asked belongs to the failure
// before: many questions may be open at a home that stops to answer.
func (f *Follower) fail(name string, err error) {
	o := f.down[name]
	if o != nil && time.Now().Before(o.until) {
		return
	}
	if o == nil {
		o = &outage{}
		f.down[name] = o
	}
	o.wait = min(max(2*o.wait, downMin), downMax)
	if f.cfg.FirstStart && time.Since(f.started) < bootPatience {
		o.wait = manageInterval
	}
	o.until = time.Now().Add(o.wait)
	f.cfg.Log.Warn("relay lost", "relay", name, "error", err, "next_ms", o.wait.Milliseconds())
}

// noteHeard records an answer of a relay whose copy has the given age.
func (f *Follower) noteHeard(name string, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fd := f.feeds[name]
	if fd == nil {
		return
	}
	now := time.Now()
	if fd.heard.IsZero() || f.down[name] != nil {
		f.cfg.Log.Info("relay answers", "relay", name, "store_age_ms", age.Milliseconds())
		delete(f.down, name)
	}
	fd.heard, fd.age = now, age
	f.publish(now)
}

func (f *Follower) notePolled() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polled = time.Now()
}

func (f *Follower) storeAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeAt.IsZero() {
		return time.Since(f.started) + time.Hour
	}
	return time.Since(f.storeAt)
}

// storeKnown says whether the store, or a relay for it, was ever heard of.
func (f *Follower) storeKnown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.storeAt.IsZero()
}

func (f *Follower) noteStore(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeAt = at
}

// publish renews the list of relays that answer. It must be called with mu held.
func (f *Follower) publish(now time.Time) {
	relays, _ := f.candidates(now)
	list := make([]replica.Node, 0, len(relays))
	for _, n := range relays {
		fd := f.feeds[n.Name]
		if n.AvailabilityZone != "" && (fd == nil || fd.answers(now)) {
			list = append(list, n)
		}
	}
	if old := *f.relays.Load(); !slices.Equal(old, list) {
		names := make([]string, len(list))
		for i, n := range list {
			names[i] = n.Name
		}
		f.cfg.Log.Info("relays in use", "relays", names)
	}
	f.relays.Store(&list)
}

// needsStore reports whether this node has to follow the store itself.
func (f *Follower) needsStore(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.polled) < relayTime {
		return true
	}
	relays, _ := f.candidates(now)
	if slices.Contains(relays, f.cfg.Self) {
		return true
	}
	if slices.Contains(f.cfg.Seeds, f.cfg.Self.ControlAddress) && f.cfg.Replica.View().Revision == 0 {
		return true
	}
	for _, fd := range f.feeds {
		if fd.answers(now) && fd.age < freshAge {
			return false
		}
	}
	patience := seedPatience
	if f.cfg.FirstStart {
		patience = bootPatience
	}
	return now.Sub(f.started) > patience || len(f.cfg.Seeds) == 0
}
