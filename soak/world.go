package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/backend"
	"filbertmill.example/testbed/faultproxy"
	"filbertmill.example/testbed/memory"
	"filbertmill.example/testbed/process"
	"filbertmill.example/testbed/standin"
)

const (
	// backendsPerService is the number of targets of each service.
	backendsPerService = 5
	// backendSlots is the number of requests that a target runs at once, and
	// backendWork the time that each takes.
	backendSlots = 3
	backendWork  = 60 * time.Millisecond
	// slowSlots is the number of slots of a target of the slow service, whose work
	// is long.
	slowSlots = 20
	// objective is the latency objective of short work, and slowObjective that of
	// long work.
	objective     = 500 * time.Millisecond
	slowObjective = 5 * time.Second
	// settleTime is how long a run goes on after its last fault has ended.
	settleTime = 16 * time.Second
	// watchInterval is the time between two checks of the promises during a run.
	watchInterval = 2 * time.Second
	// stallCheckInterval is how long each check for a stall of the machine sleeps. A
	// sleep that takes longer by more than minStall counts as a stall, which is a
	// fault.
	stallCheckInterval = 20 * time.Millisecond
	minStall           = 250 * time.Millisecond
	// readBackInterval is the time between two reads that check whether a write was
	// applied.
	readBackInterval = 50 * time.Millisecond
	// restartDelay is the time from the end of a process to its restart.
	restartDelay = 300 * time.Millisecond
)

var (
	zones    = []string{"north", "south"}
	services = []string{"look", "book", "slow"}
	// idleLimits and slowTimeouts are the values that successive configurations
	// alternate between.
	idleLimits   = []time.Duration{15 * time.Second, 3 * time.Second, 6 * time.Second}
	slowTimeouts = []time.Duration{8 * time.Second, 6 * time.Second}
)

// node is one gateway node with the proxy on its link to the store.
type node struct {
	spec      process.Gateway
	store     *faultproxy.Proxy
	processes process.Place
	// logOffsets holds the offset in the node's log file at which the lines of each
	// process begin.
	logOffsets []int64
}

// target is one back-end stand-in with the proxy in front of it.
type target struct {
	*backend.Backend
	proxy *faultproxy.Proxy
	// replacing is set once the target is being replaced by another.
	replacing atomic.Bool
	// advising is set while the target states what it accepts; its behavior is not
	// changed then.
	advising atomic.Bool
}

// world holds everything that one run starts, and the history that it records.
type world struct {
	dir     string
	program string
	rate    float64
	// slowObjective is the latency objective of long work, and minWork its shortest
	// service time.
	slowObjective, minWork time.Duration
	// short is set if no long work is requested, workspaces if callers have keys, hostile
	// if hostile callers send as well, and large if configurations are large and links thin.
	short, workspaces, hostile, large bool
	// knownRed names the promises that are known to be broken. onlyPromise is the
	// one promise whose breaches count; empty for all.
	knownRed    []string
	onlyPromise string
	start       time.Time

	platform *standin.Standin
	store    *platform.Client
	ledger   *backend.Ledger
	nodes    []*node
	clients  sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	rng     *rand.Rand
	targets []*target
	version int
	// variant selects the limits, timeouts and weights of the next configuration.
	variant int
	history history
	// knownPrinted is the set of promises that do not count and of which a breach
	// was printed.
	knownPrinted map[string]bool
}

// newWorld starts the platform, the targets and the nodes.
func newWorld(ctx context.Context, dir string, a arguments, rng *rand.Rand) (*world, error) {
	w := &world{dir: dir, program: a.Program, rate: a.Rate, knownRed: a.KnownRed, onlyPromise: a.Only, knownPrinted: make(map[string]bool), ledger: &backend.Ledger{}, rng: rng, slowObjective: slowObjective, minWork: minWork, short: a.Short, workspaces: a.Workspaces, hostile: a.Hostile, large: a.Large}
	if a.Eager {
		w.slowObjective, w.minWork = objective, 0
	}
	if err := w.startAll(ctx, a); err != nil {
		w.close()
		return nil, err
	}
	w.start = time.Now()
	return w, nil
}

// startAll starts the platform, the targets and the nodes. After an error the caller
// must close what was started.
func (w *world) startAll(ctx context.Context, a arguments) error {
	var err error
	if w.platform, err = standin.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if w.store, err = platform.NewClientFromURL(w.platform.URL()); err != nil {
		return err
	}
	for i := range backendsPerService {
		for _, s := range services {
			if err := w.addTarget(fmt.Sprintf("i-%s-%d", s, i), s, zones[i%len(zones)]); err != nil {
				return err
			}
		}
	}
	if err := w.configure(ctx); err != nil {
		return err
	}
	sleep(ctx, a.Pause)
	specs, err := process.NewGateways(a.Nodes, zones, "")
	if err != nil {
		return err
	}
	for _, spec := range specs {
		if err := w.addNode(spec); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.processes.Latest().Ready(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) addNode(spec process.Gateway) error {
	proxy, err := faultproxy.Listen("127.0.0.1:0", strings.TrimPrefix(w.platform.URL(), "http://"))
	if err != nil {
		return err
	}
	spec.Store = proxy.Address()
	if w.large {
		spec.LinkMbps = thinLinkMbps
	}
	n := &node{spec: spec, store: proxy}
	proxy.Set(faultproxy.ToCaller, w.storeLink())
	w.nodes = append(w.nodes, n)
	return w.startNode(n, func(*process.Node) {})
}

// startNode replaces the process of a node, if it has one, by a new one. It fails
// once the run is over.
func (w *world) startNode(n *node, end func(*process.Node)) error {
	return n.processes.Replace(end, func() (*process.Node, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.closed {
			return nil, errors.New("the run is over")
		}
		spec := n.spec
		spec.FirstStart = n.processes.Starts() == 0
		if w.hostile {
			spec.MemoryMB = hostileMemoryMB
		}
		size, err := logSize(filepath.Join(w.dir, spec.Name+".log"))
		if err != nil {
			return nil, err
		}
		n.logOffsets = append(n.logOffsets, size)
		return process.StartGateway(w.program, w.dir, spec)
	})
}

func (w *world) addTarget(id, service, zone string) error {
	t := &target{}
	var err error
	slots := backendSlots
	if service == "slow" {
		slots = slowSlots
	}
	t.Backend, err = backend.Start(backend.Spec{
		ID: id, Service: service, AvailabilityZone: zone, Slots: slots,
		Advertise: func(address string) (string, error) {
			var err error
			if t.proxy, err = faultproxy.Listen("127.0.0.1:0", address); err != nil {
				return "", err
			}
			return t.proxy.Address(), nil
		},
	}, w.store, w.ledger)
	if err != nil {
		return err
	}
	t.Set(backend.Behavior{Work: backendWork})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets = append(w.targets, t)
	return nil
}

// configure writes the next configuration. It has a route that only this version
// has, the permanent routes, and limits, timeouts and weights that depend on the
// variant.
func (w *world) configure(ctx context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.version + 1
	route := func(name, kind, services string, objective, timeout time.Duration) string {
		return fmt.Sprintf(`{"name":%[1]q,"kind":%[2]q,"slo-s":%[3]g,"priority":1,"match":{"prefix":"/%[1]s/"},
			"action":{%[4]s,"timeout-s":%[5]g,"attempts":%[6]d}}`, name, kind, objective.Seconds(), services, timeout.Seconds(), routeAttempts)
	}
	split := fmt.Sprintf(`"split":[{"service":"look","weight":%d},{"service":"book","weight":1}]`, 1+w.variant%5)
	routes := []string{
		"", route("book", "unsafe", `"service":"book"`, objective, callerTimeout),
		route(versionRoute(next), "safe", split, objective, callerTimeout),
		route("slow", "safe", `"service":"slow"`, w.slowObjective, slowTimeouts[w.variant%len(slowTimeouts)]),
	}
	if w.large {
		for i := range min((next+1)*largeGrowth, maxLargeRoutes) {
			routes = append(routes, route(fmt.Sprintf("%x", uint64(i+1)*goldenRatio>>16), "safe", `"service":"look"`, objective, callerTimeout))
		}
	}
	clusters := make([]string, len(services))
	for i, s := range services {
		clusters[i] = fmt.Sprintf(`{"name":%q,"health-path":"/health","max-conns":60}`, s)
	}
	idle := idleLimits[w.variant%len(idleLimits)]
	lookups, tenants := "safe", ""
	if w.workspaces {
		lookups, tenants = "download", tenantsText()
	}
	routes[0] = route("look", lookups, `"service":"look"`, objective, callerTimeout)
	text := fmt.Sprintf(`{"version":"%08x",%s"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":3,
		"idle-timeout-s":%g},"listeners":[{"host":"g.example","policy":[%s]}],"clusters":[%s]}`,
		next, tenants, idle.Seconds(), strings.Join(routes, ","), strings.Join(clusters, ","))
	text = strings.Join(strings.Fields(text), "") // names hold no blanks
	sent := time.Now()
	w.history.recordIdleLimit(idleLimit{idle, sent})
	_, err := w.store.Txn(ctx, nil, []platform.Put{{Key: platform.ConfigurationKey, Value: []byte(text)}})
	if err != nil && !w.wasWritten(ctx, text) {
		return err
	}
	w.version = next
	now := time.Now()
	w.history.recordVersion(next, now)
	w.history.recordPlanned(plannedWork{kind: configure, from: sent, to: now.Add(applyBound + time.Second)})
	return nil
}

// configureVariant writes the next configuration, with another variant of the values
// that change.
func (w *world) configureVariant(ctx context.Context, variant int) error {
	w.mu.Lock()
	w.variant = variant
	w.mu.Unlock()
	return w.configure(ctx)
}

// wasWritten reports whether a configuration was written although the reply to the
// write was lost. It retries until the store answers.
func (w *world) wasWritten(ctx context.Context, text string) bool {
	for ctx.Err() == nil {
		e, err := w.store.Get(ctx, platform.ConfigurationKey)
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			return string(e.Value) == text
		}
		sleep(ctx, readBackInterval)
	}
	return false
}

const (
	// thinLinkMbps is the bandwidth of links to the store with large configurations.
	thinLinkMbps = 10
	// largeGrowth is the number of routes by which each version grows, up to
	// maxLargeRoutes, with which it has about 1 MB.
	largeGrowth, maxLargeRoutes = 1400, 6300
	// goldenRatio makes the names of routes hard to compress, as those of users are.
	goldenRatio uint64 = 0x9e3779b97f4a7c15
)

// storeLink returns the state of an undisturbed link from the store to a node.
func (w *world) storeLink() faultproxy.Fault {
	if !w.large {
		return faultproxy.Fault{}
	}
	return faultproxy.Fault{BytesPerSecond: thinLinkMbps * 1e6 / 8}
}

func versionRoute(version int) string { return fmt.Sprintf("v%d", version) }

// runAndCheck runs callers and faults until the fleet has settled or a promise is
// broken. It returns the breaches that count.
func (w *world) runAndCheck(ctx context.Context, schedule []step) []breach {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	found := make(chan []breach, 1)
	go func() {
		found <- w.watch(ctx)
		cancel()
	}()
	go w.recordStalls(ctx)
	w.runSchedule(ctx, schedule)
	if ctx.Err() != nil {
		return <-found
	}
	h := w.snapshot()
	broken := slices.Concat(check(h), checkRecovered(h), w.checkMemory())
	if !w.hostile {
		// Nodes count the requests of hostile callers, too.
		broken = append(broken, w.checkCounts(ctx, h)...)
	}
	return slices.DeleteFunc(broken, w.isKnown)
}

// isKnown reports whether a breach is of a promise that is known to be broken, or of
// one that does not count. It prints the first such breach of each promise.
func (w *world) isKnown(b breach) bool {
	if !slices.Contains(w.knownRed, b.promise) && (w.onlyPromise == "" || b.promise == w.onlyPromise) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.knownPrinted[b.promise] {
		fmt.Println("passed over:", b)
	}
	w.knownPrinted[b.promise] = true
	return true
}

// recordStalls records the times in which the machine did not run this process, and
// so probably not the others either.
func (w *world) recordStalls(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		sleep(ctx, stallCheckInterval)
		if late := time.Since(before) - stallCheckInterval; late > minStall {
			w.history.recordFault(machineStalls, "", before)
			w.history.recordFault(machineStalls, "", time.Now())
		}
	}
}

// watch checks the promises at intervals until one is broken or the context ends. It
// returns the breaches that count.
func (w *world) watch(ctx context.Context) []breach {
	for ctx.Err() == nil {
		sleep(ctx, watchInterval)
		if broken := slices.DeleteFunc(append(check(w.snapshot()), w.checkMemory()...), w.isKnown); len(broken) > 0 {
			return broken
		}
	}
	return nil
}

// runSchedule sends requests and injects the faults of the schedule until the fleet
// has had time to settle, or the context ends.
func (w *world) runSchedule(ctx context.Context, schedule []step) {
	callers, stop := context.WithCancel(ctx)
	w.clients.Go(func() { w.sendRequests(callers) })
	hostile, stopHostile := context.WithCancel(ctx)
	defer stopHostile()
	if w.hostile {
		w.clients.Go(func() { w.sendHostile(hostile) })
	}
	var faults sync.WaitGroup
	for _, s := range schedule {
		sleep(ctx, time.Until(w.start.Add(s.at)))
		faults.Go(func() { w.inject(ctx, s) })
	}
	faults.Wait()
	stopHostile()
	w.history.recordSettled(time.Now())
	sleep(ctx, settleTime)
	stop()
	w.clients.Wait()
}

// snapshot returns a copy of the history until now, with the runs and arrivals that
// the targets recorded.
func (w *world) snapshot() *history { return w.history.snapshot(w.ledger) }

func (w *world) summary() string { return w.history.summary() }

// close stops what this run started: the nodes' processes by their ids, the targets,
// the proxies and the platform.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	targets := w.targets
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.processes.Close()
		n.store.Close()
	}
	for _, t := range targets {
		t.Close()
		t.proxy.Close()
	}
	if w.platform != nil {
		_ = w.platform.Close()
	}
}

// sleep waits for a duration, or returns early when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// setStore replaces the faults of the stand-in store.
func (w *world) setStore(f memory.Faults) { w.platform.Store.SetFaults(f) }
