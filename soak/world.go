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
	// backendSlots is what each runs at once, backendWork how long a run takes.
	backendSlots = 3
	backendWork  = 60 * time.Millisecond
	// slowSlots is the same for targets of long work.
	slowSlots = 20
	// objective is the latency objective of short work, slowObjective of long work.
	objective     = 500 * time.Millisecond
	slowObjective = 5 * time.Second
	// settleTime is how long a run goes on after its last fault has ended.
	settleTime = 16 * time.Second
	// watchInterval is the time between two checks of the promises during a run.
	watchInterval = 2 * time.Second
	// stallLook is how often the run looks at the clock, and stallMin by how much
	// it may be late: more counts as a fault, as the machine stood still.
	stallLook = 20 * time.Millisecond
	stallMin  = 250 * time.Millisecond
	// readBackInterval is the time between two looks whether a write was done.
	readBackInterval = 50 * time.Millisecond
	// restartDelay is how long a node that ended stays away.
	restartDelay = 300 * time.Millisecond
)

var (
	zones    = []string{"north", "south"}
	services = []string{"look", "book", "slow"}
	// idleLimits and slowTimeouts are what configurations change.
	idleLimits   = []time.Duration{15 * time.Second, 3 * time.Second, 6 * time.Second}
	slowTimeouts = []time.Duration{8 * time.Second, 6 * time.Second}
)

// node is one gateway with the proxy on its way to the store.
type node struct {
	spec  process.Gateway
	store *faultproxy.Proxy
	place process.Place
	// logs are where the log lines of each life begin in the node's file.
	logs []int64
}

// target is one backend with the proxy in front of it.
type target struct {
	*backend.Backend
	proxy *faultproxy.Proxy
	// replaced says that another is about to take its place.
	replaced atomic.Bool
}

// world is everything that runs.
type world struct {
	dir     string
	program string
	rate    float64
	// slowObjective is the latency objective of long work, and minWork its
	// shortest length.
	slowObjective, minWork time.Duration
	// short says that there is no long work.
	short bool
	// known are the promises that are known to be broken, and only the one that
	// counts, if one is named.
	known []string
	only  string
	start time.Time

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
	// variant chooses the limits, timeouts and weights of the next configuration.
	variant int
	record  history
	// told are the known promises of which a breach was printed.
	told map[string]bool
}

// newWorld starts the platform, the targets and the nodes.
func newWorld(ctx context.Context, dir string, a arguments, rng *rand.Rand) (*world, error) {
	w := &world{dir: dir, program: a.Program, rate: a.Rate, known: a.KnownRed, only: a.Only, told: make(map[string]bool), ledger: &backend.Ledger{}, rng: rng, slowObjective: slowObjective, minWork: minWork, short: a.Short}
	if a.Eager {
		w.slowObjective, w.minWork = objective, 0
	}
	if err := w.begin(ctx, a); err != nil {
		w.close()
		return nil, err
	}
	w.start = time.Now()
	return w, nil
}

// begin starts everything; what was started before an error is left to close.
func (w *world) begin(ctx context.Context, a arguments) error {
	var err error
	if w.platform, err = standin.Start("127.0.0.1:0"); err != nil {
		return err
	}
	if w.store, err = platform.NewClientFor(w.platform.URL()); err != nil {
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
		if err := n.place.Latest().Ready(ctx); err != nil {
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
	n := &node{spec: spec, store: proxy}
	w.nodes = append(w.nodes, n)
	return w.startNode(n, func(*process.Node) {})
}

// startNode starts a process for a node in place of the one it has, unless the
// run is over.
func (w *world) startNode(n *node, end func(*process.Node)) error {
	return n.place.Replace(end, func() (*process.Node, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.closed {
			return nil, errors.New("the run is over")
		}
		spec := n.spec
		spec.FirstStart = n.place.Starts() == 0
		size, err := logSize(filepath.Join(w.dir, spec.Name+".log"))
		if err != nil {
			return nil, err
		}
		n.logs = append(n.logs, size)
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

// configure writes the next configuration: a route of its own for each version,
// beside the lasting ones, and limits, timeouts and weights that change.
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
		route("look", "safe", `"service":"look"`, objective, patience), route("book", "unsafe", `"service":"book"`, objective, patience),
		route(versionRoute(next), "safe", split, objective, patience),
		route("slow", "safe", `"service":"slow"`, w.slowObjective, slowTimeouts[w.variant%len(slowTimeouts)]),
	}
	clusters := make([]string, len(services))
	for i, s := range services {
		clusters[i] = fmt.Sprintf(`{"name":%q,"health-path":"/health","max-conns":60}`, s)
	}
	idle := idleLimits[w.variant%len(idleLimits)]
	text := fmt.Sprintf(`{"version":"%08x","limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":3,
		"idle-timeout-s":%g},"listeners":[{"host":"g.example","policy":[%s]}],"clusters":[%s]}`,
		next, idle.Seconds(), strings.Join(routes, ","), strings.Join(clusters, ","))
	sent := time.Now()
	w.record.limited(idleLimit{idle, sent})
	_, err := w.store.Txn(ctx, nil, []platform.Put{{Key: platform.ConfigurationKey, Value: []byte(text)}})
	if err != nil && !w.wasWritten(ctx, text) {
		return err
	}
	w.version = next
	now := time.Now()
	w.record.configured(next, now)
	w.record.worked(span{kind: configure, from: sent, to: now.Add(applyBound + time.Second)})
	return nil
}

// vary writes the next configuration with another variant of what changes.
func (w *world) vary(ctx context.Context, variant int) error {
	w.mu.Lock()
	w.variant = variant
	w.mu.Unlock()
	return w.configure(ctx)
}

// wasWritten reports whether a configuration was written although its reply was
// lost; it waits for a store that is away.
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

func versionRoute(version int) string { return fmt.Sprintf("v%d", version) }

// play runs callers and faults until all has settled, or a promise is broken,
// and returns what was broken.
func (w *world) play(ctx context.Context, schedule []step) []breach {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	found := make(chan []breach, 1)
	go func() {
		found <- w.watch(ctx)
		cancel()
	}()
	go w.noteStalls(ctx)
	w.run(ctx, schedule)
	if ctx.Err() != nil {
		return <-found
	}
	h := w.sofar()
	broken := slices.Concat(check(h), checkRecovered(h), w.checkBooks(ctx, h))
	return slices.DeleteFunc(broken, w.isKnown)
}

// isKnown reports whether a breach is of a promise that is known to be broken, or
// does not count; it prints the first of each.
func (w *world) isKnown(b breach) bool {
	if !slices.Contains(w.known, b.promise) && (w.only == "" || b.promise == w.only) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.told[b.promise] {
		fmt.Println("passed over:", b)
	}
	w.told[b.promise] = true
	return true
}

// noteStalls records when this process, and so likely others, did not run.
func (w *world) noteStalls(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		sleep(ctx, stallLook)
		if late := time.Since(before) - stallLook; late > stallMin {
			w.record.disturbed(machineStalls, "", before)
			w.record.disturbed(machineStalls, "", time.Now())
		}
	}
}

// watch checks the promises until one is broken or the context ends.
func (w *world) watch(ctx context.Context) []breach {
	for ctx.Err() == nil {
		sleep(ctx, watchInterval)
		if broken := slices.DeleteFunc(check(w.sofar()), w.isKnown); len(broken) > 0 {
			return broken
		}
	}
	return nil
}

// run runs callers and faults until all has settled or the context ends.
func (w *world) run(ctx context.Context, schedule []step) {
	callers, stop := context.WithCancel(ctx)
	w.clients.Go(func() { w.callAll(callers) })
	var faults sync.WaitGroup
	for _, s := range schedule {
		sleep(ctx, time.Until(w.start.Add(s.at)))
		faults.Go(func() { w.inject(ctx, s) })
	}
	faults.Wait()
	w.record.settled(time.Now())
	sleep(ctx, settleTime)
	stop()
	w.clients.Wait()
}

// sofar returns what was seen until now, with what the targets ran.
func (w *world) sofar() *history { return w.record.sofar(w.ledger) }

func (w *world) summary() string { return w.record.summary() }

// close ends what this run started, by process id.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	targets := w.targets
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.place.Close()
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

// sleep waits, or returns early when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// setStore changes the store's faults.
func (w *world) setStore(f memory.Faults) { w.platform.Store.SetFaults(f) }
