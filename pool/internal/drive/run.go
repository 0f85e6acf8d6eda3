package drive

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/pool"
)

const (
	// networkTime is the time that opening a connection and receiving an answer add.
	networkTime = time.Millisecond
	// probeTime is the time that a probe takes.
	probeTime = 25 * time.Millisecond
	// crashTime is how long a crashed target refuses connections.
	crashTime = time.Second
	// attemptLimit is the maximum number of attempts of one request.
	attemptLimit = 3
	// retryShare is the number of retries that each request earns.
	retryShare = 0.1
	// listInterval is how often the list of targets is read.
	listInterval = time.Second
	// drainTime is how long a run continues after the last arrival.
	drainTime = 5 * time.Second
)

// epoch is the virtual time at which every run begins.
var epoch = time.Unix(1_700_000_000, 0)

// Options holds the options of a run.
type Options struct {
	// Nodes is the number of schedulers; requests arrive at each at random.
	// The home variant has one.
	Nodes int
	// New makes a scheduler.
	New func(cfg pool.Config, d pool.Delegate, seed uint64) pool.Scheduler
	// Config holds the settings of the schedulers. Service and FloorSlots are taken
	// from the trace instead.
	Config pool.Config
	Seed   uint64
	// From and To are the limits of the window for Report.UsefulShare.
	From, To time.Duration
	// Absolve has the targets that poison requests crash absolved, after a delay.
	Absolve bool
	// Check, if set, is called after each call to a scheduler.
	Check func(s pool.Scheduler, now time.Time, events []event.Event)
}

// Home returns the options of the home variant.
func Home(seed uint64) Options {
	return Options{Nodes: 1, New: pool.NewHome, Seed: seed}
}

// Direct returns the options of the direct variant on a fleet of 32 nodes.
func Direct(seed uint64) Options {
	return Options{Nodes: 32, New: pool.NewDirect, Seed: seed}
}

// LeastCost returns the options of one scheduler for targets with frequent gray
// failures.
func LeastCost(seed uint64) Options {
	return Options{Nodes: 1, Seed: seed, New: func(cfg pool.Config, d pool.Delegate, seed uint64) pool.Scheduler {
		return pool.NewLeastCost(cfg, d, seed)
	}}
}

// action is a function to be called at a virtual time.
type action struct {
	at  time.Duration
	seq int
	do  func()
}

// actionQueue is a heap of actions, the one due first on top.
type actionQueue []action

func (a actionQueue) Len() int      { return len(a) }
func (a actionQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a actionQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].seq < a[j].seq)
}
func (a *actionQueue) Push(x any) { *a = append(*a, x.(action)) }
func (a *actionQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// run is the state of one run.
type run struct {
	trace   Trace
	opts    Options
	rng     *rand.Rand
	queue   actionQueue
	seq     int
	now     time.Duration
	end     time.Duration
	nodes   []*node
	targets map[string]*target
	tokens  float64
	nextID  pool.RequestID
	report  *Report
}

// Run runs a trace and reports the results.
func Run(tr Trace, opts Options) *Report {
	r := &run{
		trace:   tr,
		opts:    opts,
		rng:     rand.New(rand.NewPCG(opts.Seed, 1)),
		targets: make(map[string]*target),
		report:  newReport(tr),
	}
	for i := range tr.Targets {
		t := &target{name: TargetName(i), slots: tr.Slots}
		r.targets[t.name] = t
	}
	if n := len(tr.Arrivals); n > 0 {
		r.end = time.Duration(tr.Arrivals[n-1].At) + drainTime
	}
	r.startNodes()
	for _, a := range tr.Arrivals {
		r.after(time.Duration(a.At), func() { r.arrive(a) })
	}
	r.loop()
	r.report.finish(r)
	return r.report
}

// after schedules do to be called after the given time.
func (r *run) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.queue, action{at: r.now + d, seq: r.seq, do: do})
}

func (r *run) loop() {
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(action)
		if next.at > r.end {
			return
		}
		r.now = next.at
		next.do()
	}
}

// clock returns the virtual time that is passed to schedulers.
func (r *run) clock() time.Time { return epoch.Add(r.now) }

// active returns the condition of the given kind that the target is in. A condition
// of the target itself takes precedence over one of all targets.
func (r *run) active(name string, kind Kind) (Condition, bool) {
	var found Condition
	ok := false
	for _, c := range r.trace.Conditions {
		hit := c.Kind == kind && (c.Target == name || c.Target == "*")
		if !hit || r.now < time.Duration(c.From) || (c.To != 0 && r.now >= time.Duration(c.To)) {
			continue
		}
		if !ok || c.Target == name {
			found, ok = c, true
		}
	}
	return found, ok
}

// affects reports whether a condition with a share affects the next request. It is
// drawn at random.
func (r *run) affects(name string, kind Kind) bool {
	c, ok := r.active(name, kind)
	return ok && r.rng.Float64() < c.Value
}
