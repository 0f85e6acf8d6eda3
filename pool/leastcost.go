package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"filbertmill.example/outcome"
	"filbertmill.example/retry"
)

// RuleBelief names the rule by which a LeastCost scheduler suspects a target or
// clears it.
const RuleBelief = "belief"

const (
	// suspicionBelief and clearBelief are the beliefs at which a target becomes
	// suspected and at which it is cleared.
	suspicionBelief = 0.5
	clearBelief     = 0.35
	// learnShare is the weight of the latest answer in a route's usual latency.
	learnShare = 0.05
	// slownessShare is the weight of the latest answer in a target's slowness.
	slownessShare = 0.2
	// firstLatency is the usual latency assumed of a route without answers.
	firstLatency = 150 * time.Millisecond
	// coldSlowness is how many times slower than usual a new target is assumed to be.
	coldSlowness = 2
	// overdueFactor and overdueMin define when a running attempt is overdue: after
	// this multiple of the usual latency, and at least after this time.
	overdueFactor = 3
	overdueMin    = 150 * time.Millisecond
	// limitRecovery is the time after which a lowered limit rises by one slot.
	// limitShare is the least share of the slots to which it is lowered: a refusal may
	// be part of a gray failure, and a retry costs little.
	limitRecovery = 200 * time.Millisecond
	limitShare    = 0.5
	// noTargetWait is the least wait advised for a request that no target may take.
	// Listing further targets or the return of one takes about as long.
	noTargetWait = time.Second
	// leastCostTick is the interval between ticks of a busy Scheduler.
	leastCostTick = 25 * time.Millisecond
)

// LeastCost is a Scheduler that also reports usual latencies and its queue length.
type LeastCost interface {
	Scheduler
	// UsualLatency returns the usual latency of a route.
	UsualLatency(route string) time.Duration
	// Queued returns the number of waiting attempts.
	Queued() int
	// SetRateLimits replaces the limits of the rates of requests, by target. A target
	// with a limit is given one attempt for each permit.
	SetRateLimits(now time.Time, limits map[string]retry.Rate)
	// AddPermits adds permits for a target that were issued the given time ago for a
	// rate. It reports whether that is the target's limit; else the permits are dropped.
	AddPermits(now time.Time, target string, rate retry.Rate, d retry.Deposit, age time.Duration) bool
	// ClearPermits drops all permits.
	ClearPermits()
	// Explain returns what would be done with an attempt now, and changes nothing.
	Explain(now time.Time, r Request) Explanation
	// RecordLosses counts requests of the service that were refused before they became
	// attempts.
	RecordLosses(now time.Time, n int)
}

// leastCost is the Scheduler that NewLeastCost returns.
type leastCost struct {
	cfg          Config
	delegate     Delegate
	rng          *rand.Rand
	targets      map[string]*leastCostTarget
	order        []*leastCostTarget
	running      map[RequestID]*leastCostAttempt
	waiting      []*leastCostAttempt
	usualLatency map[string]time.Duration
	// usualBytes holds, by route, the usual size of a request with its answer.
	usualBytes map[string]float64
	// tails holds, by route, how many times slower than usual answers are. signature
	// is how the targets of the service fail.
	tails     map[string]*latencyTail
	signature signature
	// slowInCommon is set while most targets are slow at the same time.
	slowInCommon bool
	// rateLimits holds the limits of the rates of requests, by target.
	rateLimits map[string]retry.Rate
	// hasTargetList is set once a list of targets was received.
	hasTargetList bool
	lastTick      time.Time
	// losses is the moving share of requests that were refused, or that failed
	// without a possible retry.
	losses lossShare
	// offeredLoad is the load of all recent attempts, and startedLoad that of those
	// that were started.
	offeredLoad, startedLoad load
	// shares holds what callers have asked for and got.
	shares workspaceShares
	// spread holds whether too few targets are in use, keyed by whether the attempts
	// are retryable.
	spread map[bool]spreadState
}

// leastCostTarget is the state kept about one target.
type leastCostTarget struct {
	Target
	state   State
	machine *stateless.StateMachine
	listed  bool
	belief  belief
	// slowness is the moving ratio of its latencies to the usual ones.
	slowness float64
	limit    limit
	// rate limits the rate of its requests; nil without a limit.
	rate    *rateLimit
	running map[RequestID]*leastCostAttempt
	// lastUsed is when the target last got an attempt. newlyListed is set if it was
	// added to an existing list and has not been used yet.
	lastUsed    time.Time
	newlyListed bool
	// lastEnd is the latest end of an attempt, and history the recent ones. faultyAt
	// is the latest time at which a failure that foretells others showed a fault.
	lastEnd  attemptEnd
	history  targetHistory
	faultyAt time.Time
	// failedAt is the latest failure without an answer since, and relapses the number
	// of failures on further attempts after it.
	failedAt time.Time
	relapses int
}

// leastCostAttempt is an attempt that was submitted and has not ended.
type leastCostAttempt struct {
	Request
	submitted time.Time
	started   time.Time
	target    *leastCostTarget
	// late is 1 once the attempt can no longer meet its soft deadline.
	late int
	// first is -1 if the attempt goes before all others as its caller is starved, else 0.
	// behind is how far it goes behind others of its priority, as its caller has had more
	// than its part.
	first, behind int
}

// NewLeastCost returns a Scheduler for targets with frequent gray failures that
// last some seconds. It ejects no target. For each target it keeps the probability
// that the target is faulty, which every answer updates, and it gives an attempt to
// the free target with the least expected cost. A failure costs more for attempts
// that may not be retried: they wait for a trusted target rather than use a
// doubtful one.
func NewLeastCost(cfg Config, d Delegate, seed uint64) LeastCost {
	return &leastCost{
		cfg:          cfg.withDefaults(),
		delegate:     d,
		rng:          rand.New(rand.NewPCG(seed, 0)),
		targets:      make(map[string]*leastCostTarget),
		running:      make(map[RequestID]*leastCostAttempt),
		usualLatency: make(map[string]time.Duration),
		usualBytes:   make(map[string]float64),
		tails:        make(map[string]*latencyTail),
		spread:       make(map[bool]spreadState),
	}
}

func (s *leastCost) SetConfig(now time.Time, cfg Config) {
	s.cfg = cfg.withDefaults()
	s.dispatch(now)
}

func (s *leastCost) SetTargets(now time.Time, targets []Target) {
	for _, t := range s.order {
		t.listed = false
	}
	for _, listed := range targets {
		s.list(now, listed)
	}
	for name, t := range s.targets {
		if !t.listed || t.Leaving {
			s.fire(now, t, triggerLeave, RuleListed)
		} else if t.state == StateDraining {
			s.fire(now, t, triggerRejoin, RuleListed)
		}
		if !t.listed && len(t.running) == 0 {
			delete(s.targets, name)
		}
	}
	s.order = s.order[:0]
	for _, t := range s.targets {
		s.order = append(s.order, t)
	}
	slices.SortFunc(s.order, func(a, b *leastCostTarget) int { return cmp.Compare(a.Name, b.Name) })
	s.hasTargetList = true
	s.dispatch(now)
}

// list adds or updates the target of one entry of the list.
func (s *leastCost) list(now time.Time, listed Target) {
	t := s.targets[listed.Name]
	if t == nil {
		t = &leastCostTarget{
			state: StateServing, belief: belief{faulty: initialFaulty, at: now}, slowness: 1,
			limit: limit{slots: listed.Slots}, running: make(map[RequestID]*leastCostAttempt),
		}
		if s.hasTargetList {
			t.slowness, t.newlyListed = coldSlowness, true
		}
		t.machine = newMachine(&t.state)
		s.targets[listed.Name] = t
	}
	t.limit.slots = max(1, t.limit.slots+listed.Slots-t.Slots)
	t.Target = listed
	t.listed = true
	s.limitRate(t)
}

// Submit implements Scheduler.
func (s *leastCost) Submit(now time.Time, r Request) {
	if r.SoftDeadline.IsZero() {
		r.SoftDeadline = r.Deadline
	}
	a := &leastCostAttempt{Request: r, submitted: now}
	s.offeredLoad.add(now, s.latency(a.Route))
	s.shares.ask(now, a)
	s.place(now, a)
	if refusal, ok := s.admit(now, a); !ok {
		s.refuse(now, a, refusal)
		return
	}
	s.enqueue(a)
	s.dispatch(now)
}

// admit reports whether a may be queued, and otherwise why not.
func (s *leastCost) admit(now time.Time, a *leastCostAttempt) (Refusal, bool) {
	drain, due, late := s.drainTime(a), a.Deadline, outcome.ReasonTooLate
	if wait, limited := s.permitWait(now, a); limited {
		// More slots than permits are free: what would wait would be answered late.
		drain, due, late = drain+wait, a.SoftDeadline, outcome.ReasonRateLimited
	}
	switch {
	case !a.Deadline.After(now):
		return Refusal{Reason: outcome.ReasonTooLate}, false
	case s.slots(a) == 0:
		return Refusal{Reason: outcome.ReasonNoTarget, RetryAfter: max(drain, noTargetWait)}, false
	case len(s.waiting) >= s.cfg.QueueLimit:
		return Refusal{Reason: outcome.ReasonQueueFull, RetryAfter: drain}, false
	case now.Add(drain + s.latency(a.Route)).After(due):
		return Refusal{Reason: late, RetryAfter: drain}, false
	}
	return Refusal{}, true
}

// slots returns the number of slots that could run a, now or once they are free. A
// target that limits its rate can't keep all of its slots busy.
func (s *leastCost) slots(a *leastCostAttempt) float64 {
	n, latency := 0.0, s.latency(a.Route)
	for _, t := range s.order {
		if t.usable() && a.fits(t) {
			n += t.busySlots(latency)
		}
	}
	return n
}

// drainTime returns how long the attempts that start before a keep the slots busy:
// the slots that could run a, or all slots if no target may run it.
func (s *leastCost) drainTime(a *leastCostAttempt) time.Duration {
	var work time.Duration
	for _, other := range s.waiting {
		if other.goesBefore(a) {
			work += s.latency(other.Route)
		}
	}
	slots := s.slots(a)
	if slots == 0 {
		slots = s.slots(&leastCostAttempt{})
	}
	if slots == 0 {
		return work
	}
	return time.Duration(float64(work) / slots)
}

// latency returns the usual latency of a route.
func (s *leastCost) latency(route string) time.Duration {
	if l := s.usualLatency[route]; l > 0 {
		return l
	}
	return firstLatency
}

// UsualLatency implements LeastCost.
func (s *leastCost) UsualLatency(route string) time.Duration { return s.latency(route) }

// Cancel implements Scheduler.
func (s *leastCost) Cancel(now time.Time, id RequestID) {
	s.waiting = slices.DeleteFunc(s.waiting, func(a *leastCostAttempt) bool { return a.ID == id })
	s.dispatch(now)
}

// Finish implements Scheduler.
func (s *leastCost) Finish(now time.Time, id RequestID, res Result) {
	a := s.running[id]
	if a == nil {
		return
	}
	t := a.target
	delete(s.running, id)
	delete(t.running, id)
	if res.Verdict == VerdictAnswered || (res.Verdict != VerdictCancelled && !a.retryable()) {
		s.losses.add(now, res.Verdict != VerdictAnswered)
	}
	s.learn(now, a, res)
	if res.Leaving && t.state != StateDraining {
		s.fire(now, t, triggerLeave, RuleOwnSignal)
	}
	if !t.listed && len(t.running) == 0 {
		delete(s.targets, t.Name)
		s.order = slices.DeleteFunc(s.order, func(o *leastCostTarget) bool { return o == t })
	}
	s.dispatch(now)
}

// Observe implements Scheduler. It ignores probes, because they don't detect gray
// failures.
func (s *leastCost) Observe(time.Time, Observation) {}

// Absolve implements Scheduler.
func (s *leastCost) Absolve(now time.Time, name string, _ time.Time) {
	if t := s.targets[name]; t != nil {
		t.belief = belief{faulty: initialFaulty, at: now}
		s.updateSuspicion(now, t)
		s.dispatch(now)
	}
}

// Tick implements Scheduler.
func (s *leastCost) Tick(now time.Time) {
	s.lastTick = now
	s.slowInCommon = s.mostAreOverdue(now)
	for _, t := range s.order {
		t.limit.tick(now, t.Slots, limitRecovery)
		s.updateSuspicion(now, t)
	}
	s.expire(now)
	s.sortWaiting(now)
	s.refuseLate(now)
	s.dispatch(now)
}

// RecordLosses implements LeastCost.
func (s *leastCost) RecordLosses(now time.Time, n int) { s.losses.addRefused(now, n) }

// Queued implements LeastCost.
func (s *leastCost) Queued() int { return len(s.waiting) }

// Next implements Scheduler.
func (s *leastCost) Next() time.Time {
	if len(s.waiting) == 0 && len(s.running) == 0 {
		return time.Time{}
	}
	return s.lastTick.Add(leastCostTick)
}

// Snapshot implements Scheduler.
func (s *leastCost) Snapshot(time.Time) Snapshot {
	snap := Snapshot{Service: s.cfg.Service, Queued: len(s.waiting), FloorSlots: s.cfg.FloorSlots}
	for _, t := range s.order {
		if t.state == StateServing || t.state == StateCold {
			snap.HealthySlots += t.capacity()
		}
		snap.Targets = append(snap.Targets, TargetStatus{
			Name: t.Name, State: string(t.state), Slots: t.Slots, Limit: t.capacity(), InFlight: len(t.running),
		})
	}
	return snap
}
