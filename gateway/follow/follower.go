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
	"filbertmill.example/gateway/content"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/gateway/suspend"
	"filbertmill.example/platform"
)

const (
	// maxRelays is the largest number of relays, one in each availability zone. Each
	// relay causes a constant rate of store calls.
	maxRelays = 5
	// relaysPolled is the number of relays that a node polls, as one may fail or be
	// partitioned from the store.
	relaysPolled = 2
	// reconcileInterval is how often a node reviews which relays it polls.
	reconcileInterval = 100 * time.Millisecond
	// relayIdleTime is how long a node continues to watch the store after the last
	// poll of another node.
	relayIdleTime = 3 * time.Second
	// relayBackoffMin and relayBackoffMax limit the backoff before a relay that failed
	// is polled again.
	relayBackoffMin = 500 * time.Millisecond
	relayBackoffMax = 8 * time.Second
	// seedTimeout is how long a node that starts waits for a seed before it reads the
	// store itself, and fleetStartSeedTimeout how long when the whole fleet starts.
	fleetStartSeedTimeout = 900 * time.Millisecond
	seedTimeout           = 100 * time.Millisecond
)

var (
	errLeaving  = errors.New("the relay is shutting down")
	errNoAnswer = errors.New("the relay did not answer as a home")
)

// Store is the part of the client of the platform's store that a Follower needs.
type Store interface {
	Range(ctx context.Context, prefix, after string) (platform.Page, error)
	ReadListing(ctx context.Context, l *platform.Listing, patience platform.Patience) error
	WatchPrefix(ctx context.Context, prefix string, after platform.Revision, wait time.Duration, patience platform.Patience) ([]platform.Item, platform.Revision, error)
	Txn(ctx context.Context, expect map[string]platform.Revision, puts []platform.Put) (platform.Revision, error)
}

// Config holds the settings and dependencies of a Follower.
type Config struct {
	Store     Store
	Replica   *replica.Replica
	Transport *control.Transport
	// Self is this node as it registers itself in the store.
	Self replica.Node
	// Seeds are control addresses of nodes that are polled before any node is known.
	Seeds []string
	// FirstStart is set if the whole fleet is starting.
	FirstStart bool
	Log        hclog.Logger
}

// Follower applies the changes of the store to the replica, serves other nodes as a
// relay, and keeps track of the relays that answer.
type Follower struct {
	cfg     Config
	started time.Time
	leaving atomic.Bool
	relays  atomic.Pointer[[]replica.Node]

	// shelf holds encoded content for other nodes, and pacer spreads it by this node's
	// link.
	shelf content.Shelf
	pacer *content.Pacer
	// reading is the read of the store that goes on. Only followStore uses it.
	reading *reading

	mu            sync.Mutex
	feeds         map[string]*feed
	outages       map[string]*outage
	confirmations confirmations
	// searching holds the availability zones whose next relay is being looked for.
	// searchCtx ends the searches; it is nil until Run is called.
	searching map[string]bool
	searchCtx context.Context
	// lastPolled is when another node last polled this one.
	lastPolled time.Time
	// readDue is set if the store must be read because copies differ, and checkedAt is
	// when that was last found.
	readDue   bool
	checkedAt time.Time
	// valueProgressAt is when the fetch of an announced value last got further.
	valueProgressAt time.Time
	// registrationSeenAt is when this node first saw its own registration in its
	// replica.
	registrationSeenAt time.Time
	// registeredAt is when this process wrote its registration; it is zero if the
	// registration was there.
	registeredAt time.Time
}

// outage is the state of a relay that failed.
type outage struct {
	retryAt time.Time
	backoff time.Duration
}

// New returns a Follower and registers its handler of polls. Run makes it follow the
// store.
func New(cfg Config) *Follower {
	f := &Follower{
		cfg: cfg, started: time.Now(), feeds: make(map[string]*feed), outages: make(map[string]*outage),
		searching:     make(map[string]bool),
		pacer:         content.NewPacer(cfg.Self.LinkMbps),
		confirmations: confirmations{renewed: make(chan struct{}), suspended: suspend.Total()},
	}
	f.relays.Store(&[]replica.Node{})
	cfg.Transport.Handle(kindChanges, f.serveChanges)
	cfg.Transport.Handle(kindValue, f.serveValue)
	cfg.Transport.Handle(kindList, f.serveList)
	return f
}

// Run follows the store, directly or through relays, until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.searchCtx = ctx
	f.mu.Unlock()
	go f.followStore(ctx)
	go f.keepRegistered(ctx)
	go f.fetchValues(ctx)
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		f.reconcileFeeds(ctx, time.Now())
		f.refreshCopy(ctx, time.Now())
		changed := f.cfg.Replica.Changed()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

// Leave makes this node tell the nodes that poll it to use other relays.
func (f *Follower) Leave() { f.leaving.Store(true) }

// Relays returns the relays in use, this node included if it is one.
func (f *Follower) Relays() []replica.Node { return *f.relays.Load() }

// Suspect records that a relay did not answer. Relays does not list it until it
// answers again.
func (f *Follower) Suspect(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fd := f.feeds[name]; fd != nil {
		fd.lastAnswer = time.Time{}
		f.startSearch(fd.node.AvailabilityZone)
	} else {
		f.recordFailure(name, errNoAnswer)
	}
	f.publishRelays(time.Now())
}

// reconcileFeeds starts and stops feeds, so that the right relays are polled.
func (f *Follower) reconcileFeeds(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	polled := f.relaysToPoll(now)
	for name, fd := range f.feeds {
		if !slices.Contains(polled, fd.node) {
			fd.cancel()
			delete(f.feeds, name)
		}
	}
	for _, n := range polled {
		if f.feeds[n.Name] == nil {
			f.startFeed(ctx, n)
		}
	}
	f.publishRelays(now)
}

// candidates returns the relays: of each zone the best ranked node that has not
// failed, and the seeds while few nodes are known. Trials are better ranked nodes
// that have failed and whose backoff has passed. They are polled as well, and replace
// no relay.
func (f *Follower) candidates(now time.Time) (relays, trials []replica.Node) {
	known := RankRelays(f.cfg.Replica.View().Nodes)
	if len(known) < relaysPolled {
		known = append(known, f.unknownSeeds(known)...)
	}
	taken := make(map[string]bool)
	for _, n := range known {
		o := f.outages[n.Name]
		switch {
		case taken[n.AvailabilityZone] || (n.Name == f.cfg.Self.Name && f.leaving.Load()):
		case o != nil && !now.Before(o.retryAt):
			trials = append(trials, n)
		case o == nil:
			relays = append(relays, n)
			// Seeds have no zone, so all of them are relays.
			taken[n.AvailabilityZone] = n.AvailabilityZone != ""
		}
		if len(relays) == maxRelays {
			break
		}
	}
	return relays, trials
}

// relaysToPoll returns the relays that this node polls, that of its own zone first.
func (f *Follower) relaysToPoll(now time.Time) []replica.Node {
	relays, trials := f.candidates(now)
	relays = slices.DeleteFunc(relays, func(n replica.Node) bool { return n.Name == f.cfg.Self.Name })
	slices.SortStableFunc(relays, func(a, b replica.Node) int {
		return cmp.Or(f.zoneDistance(a)-f.zoneDistance(b), cmp.Compare(hash(f.cfg.Self.Name+a.Name), hash(f.cfg.Self.Name+b.Name)))
	})
	if relays = relays[:min(len(relays), relaysPolled)]; len(trials) > relaysPolled {
		trials = trials[:relaysPolled]
	}
	return append(relays, trials...)
}

// zoneDistance returns 0 for a node of this node's availability zone, else 1.
func (f *Follower) zoneDistance(n replica.Node) int {
	if n.AvailabilityZone == f.cfg.Self.AvailabilityZone {
		return 0
	}
	return 1
}

// unknownSeeds returns the seeds that are not among the known nodes. Their names are
// not known, so each is named by its address.
func (f *Follower) unknownSeeds(known []replica.Node) []replica.Node {
	var list []replica.Node
	for _, address := range f.cfg.Seeds {
		same := func(n replica.Node) bool { return n.ControlAddress == address }
		if address != f.cfg.Self.ControlAddress && !slices.ContainsFunc(known, same) {
			list = append(list, replica.Node{Name: address, ControlAddress: address})
		}
	}
	return list
}

// startFeed starts to poll a relay.
func (f *Follower) startFeed(ctx context.Context, n replica.Node) {
	ctx, cancel := context.WithCancel(ctx)
	fd := &feed{node: n, cancel: cancel, wait: sameZoneWait}
	if f.zoneDistance(n) == 1 {
		fd.wait = otherZoneWait
	}
	f.feeds[n.Name] = fd
	go func() {
		err := f.pollRelay(ctx, n, fd.wait)
		cancel()
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.feeds[n.Name] != fd {
			return
		}
		delete(f.feeds, n.Name)
		f.recordFailure(n.Name, err)
		f.publishRelays(time.Now())
	}()
}

// recordFailure starts the backoff of a relay that failed, which doubles with each
// failure. A failure that occurs during the backoff belongs to the failure before and
// is ignored: many calls may be in flight to a home that stops answering.
func (f *Follower) recordFailure(name string, err error) {
	o := f.outages[name]
	if o != nil && time.Now().Before(o.retryAt) {
		return
	}
	if o == nil {
		o = &outage{}
		f.outages[name] = o
	}
	o.backoff = min(max(2*o.backoff, relayBackoffMin), relayBackoffMax)
	if f.cfg.FirstStart && time.Since(f.started) < fleetStartSeedTimeout {
		o.backoff = reconcileInterval
	}
	o.retryAt = time.Now().Add(o.backoff)
	f.cfg.Log.Warn("relay lost", "relay", name, "error", err, "next_ms", o.backoff.Milliseconds())
	for _, n := range f.cfg.Replica.View().Nodes {
		if n.Name == name {
			f.startSearch(n.AvailabilityZone)
		}
	}
}

// recordAnswer records that a relay answered whose replica has the given age.
func (f *Follower) recordAnswer(name string, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fd := f.feeds[name]
	if fd == nil {
		return
	}
	now := time.Now()
	if fd.lastAnswer.IsZero() || f.outages[name] != nil {
		f.cfg.Log.Info("relay answers", "relay", name, "store_age_ms", age.Milliseconds())
		delete(f.outages, name)
	}
	fd.lastAnswer, fd.age = now, age
	f.publishRelays(now)
}

// recordPoll records that another node polled this one.
func (f *Follower) recordPoll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastPolled = time.Now()
}

// publishRelays updates the list of relays that answer. It must be called with mu
// held.
func (f *Follower) publishRelays(now time.Time) {
	relays, _ := f.candidates(now)
	list := make([]replica.Node, 0, len(relays))
	for _, n := range relays {
		fd := f.feeds[n.Name]
		proven := fd != nil && fd.answers(now)
		assumed := fd == nil && (!f.searching[n.AvailabilityZone] || n.Name == f.cfg.Self.Name)
		if n.AvailabilityZone != "" && (proven || assumed) {
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
	if f.readDue || now.Sub(f.lastPolled) < relayIdleTime || f.valuesStuck(now) {
		return true
	}
	relays, _ := f.candidates(now)
	if slices.Contains(relays, f.cfg.Self) {
		return true
	}
	if slices.Contains(f.cfg.Seeds, f.cfg.Self.ControlAddress) && f.cfg.Replica.View().Revision == 0 {
		return true
	}
	if f.relayAge(now) < maxCopyAge {
		return false
	}
	timeout := seedTimeout
	if f.cfg.FirstStart {
		timeout = fleetStartSeedTimeout
	}
	return now.Sub(f.started) > timeout || len(f.cfg.Seeds) == 0
}
