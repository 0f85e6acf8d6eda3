package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"filbertmill.example/outcome"
)

// RuleBelief names the rule by which a steered target is suspected or cleared.
const RuleBelief = "belief"

const (
	// suspicionBelief and clearBelief are the beliefs at which a target counts
	// as suspected and as cleared.
	suspicionBelief = 0.5
	clearBelief     = 0.35
	// learnShare is the weight of the latest answer in a route's usual latency
	// and a target's slowness.
	learnShare = 0.05
	// slownessShare is the weight of the latest answer in a target's slowness.
	slownessShare = 0.2
	// firstLatency stands for the usual latency of a route without answers.
	firstLatency = 150 * time.Millisecond
	// coldSlowness is how many times slower than usual a new target is taken to be.
	coldSlowness = 2
	// overdueFactor and overdueMin say when a running attempt is overdue:
	// after so many times the usual latency and at least so long.
	overdueFactor = 3
	overdueMin    = 150 * time.Millisecond
	// overdueRatio is the likelihood ratio of an attempt that is overdue.
	overdueRatio = 3
	// limitRecovery is the time after which a lowered limit rises by one slot,
	// and limitShare the least share of the slots that it leaves: a refusal may
	// be a gray failure, and a repeated attempt costs little.
	limitRecovery = 200 * time.Millisecond
	limitShare    = 0.5
	// noTargetWait is the least wait advised to a request that no target may
	// take: a listing or a return of targets takes as long.
	noTargetWait = time.Second
	// lossWeight is the weight of the latest request in the share not served.
	lossWeight = 0.02
	// steeredTick is how often a busy Scheduler looks at what is due.
	steeredTick = 25 * time.Millisecond
)

// LeastCost is a Scheduler that tells what it has learned.
type LeastCost interface {
	Scheduler
	// UsualLatency returns the usual latency of a route.
	UsualLatency(route string) time.Duration
	// Queued returns the number of waiting attempts.
	Queued() int
}

// steered is the Scheduler of NewSteered.
type steered struct {
	cfg           Config
	delegate      Delegate
	rng           *rand.Rand
	targets       map[string]*steeredTarget
	order         []*steeredTarget
	running       map[RequestID]*steeredAttempt
	waiting       []*steeredAttempt
	usualLatency  map[string]time.Duration
	hasTargetList bool
	lastTick      time.Time
	// lost is the share of requests that were lately not served.
	lossShare float64
	// offered is the work that came lately, and started that which got a target.
	offeredLoad, startedLoad load
	// spread says whether too few targets are in use, for work that may be
	// repeated and for work that may not.
	spread map[bool]spreadState
}

// steeredTarget is what is known of one target.
type steeredTarget struct {
	Target
	state   State
	machine *stateless.StateMachine
	listed  bool
	belief  belief
	// slowness is how many times longer than usual its answers take.
	slowness float64
	limit    limit
	running  map[RequestID]*steeredAttempt
	// used is when it was last given an attempt; joined says that it came to a
	// list that was known and has not been used yet.
	lastUsed    time.Time
	newlyListed bool
	// last is the latest end of an attempt, and reset when it last reset one.
	lastEnd   attemptEnd
	lastReset time.Time
}

// steeredAttempt is an attempt that was submitted and not ended.
type steeredAttempt struct {
	Request
	submitted time.Time
	started   time.Time
	target    *steeredTarget
	// late is 1 once it cannot end any more when it is due.
	late int
}

// NewLeastCost returns a Scheduler for targets that often fail gray for some
// seconds. It ejects none: it believes each target faulty with a probability
// that every answer changes, and gives an attempt the free target where its
// expected cost is least. Attempts that may not be repeated weigh a failure
// more, and wait for a trusted target rather than take a doubtful one.
func NewLeastCost(cfg Config, d Delegate, seed uint64) LeastCost {
	return &steered{
		cfg:          cfg.withDefaults(),
		delegate:     d,
		rng:          rand.New(rand.NewPCG(seed, 0)),
		targets:      make(map[string]*steeredTarget),
		running:      make(map[RequestID]*steeredAttempt),
		usualLatency: make(map[string]time.Duration),
		spread:       make(map[bool]spreadState),
	}
}

func (s *steered) SetConfig(now time.Time, cfg Config) {
	s.cfg = cfg.withDefaults()
	s.dispatch(now)
}

func (s *steered) SetTargets(now time.Time, targets []Target) {
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
	slices.SortFunc(s.order, func(a, b *steeredTarget) int { return cmp.Compare(a.Name, b.Name) })
	s.hasTargetList = true
	s.dispatch(now)
}

// list takes one entry of the list of targets.
func (s *steered) list(now time.Time, listed Target) {
	t := s.targets[listed.Name]
	if t == nil {
		t = &steeredTarget{
			state: StateServing, belief: belief{faulty: initialFaulty, at: now}, slowness: 1,
			limit: limit{slots: listed.Slots}, running: make(map[RequestID]*steeredAttempt),
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
}

// Submit implements Scheduler.
func (s *steered) Submit(now time.Time, r Request) {
	if r.SoftDeadline.IsZero() {
		r.SoftDeadline = r.Deadline
	}
	a := &steeredAttempt{Request: r, submitted: now}
	s.offeredLoad.add(now, s.latency(a.Route))
	if refusal, ok := s.admit(now, a); !ok {
		s.refuse(now, a, refusal)
		return
	}
	s.enqueue(now, a)
	s.dispatch(now)
}

// admit says whether a is worth a place in the queue.
func (s *steered) admit(now time.Time, a *steeredAttempt) (Refusal, bool) {
	drain := s.drainTime(a)
	switch {
	case !a.Deadline.After(now):
		return Refusal{Reason: outcome.ReasonTooLate}, false
	case s.slots(a) == 0:
		return Refusal{Reason: outcome.ReasonNoTarget, RetryAfter: max(drain, noTargetWait)}, false
	case len(s.waiting) >= s.cfg.QueueLimit:
		return Refusal{Reason: outcome.ReasonQueueFull, RetryAfter: drain}, false
	case now.Add(drain + s.latency(a.Route)).After(a.Deadline):
		return Refusal{Reason: outcome.ReasonTooLate, RetryAfter: drain}, false
	}
	return Refusal{}, true
}

// slots returns the slots that could run a, now or once they are free.
func (s *steered) slots(a *steeredAttempt) int {
	n := 0
	for _, t := range s.order {
		if t.usable() && a.fits(t) {
			n += t.capacity()
		}
	}
	return n
}

// drainTime returns how long the work that starts before a keeps the slots busy:
// those that could run a, or all if it may go to none.
func (s *steered) drainTime(a *steeredAttempt) time.Duration {
	var work time.Duration
	for _, other := range s.waiting {
		if other.Priority <= a.Priority {
			work += s.latency(other.Route)
		}
	}
	slots := s.slots(a)
	if slots == 0 {
		slots = s.slots(&steeredAttempt{})
	}
	return work / time.Duration(max(slots, 1))
}

// latency returns the usual latency of a route.
func (s *steered) latency(route string) time.Duration {
	if l := s.usualLatency[route]; l > 0 {
		return l
	}
	return firstLatency
}

// UsualLatency returns the usual latency of a route.
func (s *steered) UsualLatency(route string) time.Duration { return s.latency(route) }

// Cancel implements Scheduler.
func (s *steered) Cancel(now time.Time, id RequestID) {
	s.waiting = slices.DeleteFunc(s.waiting, func(a *steeredAttempt) bool { return a.ID == id })
	s.dispatch(now)
}

// Finish implements Scheduler.
func (s *steered) Finish(now time.Time, id RequestID, res Result) {
	a := s.running[id]
	if a == nil {
		return
	}
	t := a.target
	delete(s.running, id)
	delete(t.running, id)
	if res.Verdict == VerdictAnswered || (res.Verdict != VerdictCancelled && !a.retryable()) {
		s.countLoss(res.Verdict != VerdictAnswered)
	}
	s.learn(now, a, res)
	if res.Leaving && t.state != StateDraining {
		s.fire(now, t, triggerLeave, RuleOwnSignal)
	}
	if !t.listed && len(t.running) == 0 {
		delete(s.targets, t.Name)
		s.order = slices.DeleteFunc(s.order, func(o *steeredTarget) bool { return o == t })
	}
	s.dispatch(now)
}

// Observe implements Scheduler: health checks say nothing about gray failures.
func (s *steered) Observe(time.Time, Observation) {}

// Absolve implements Scheduler.
func (s *steered) Absolve(now time.Time, name string, _ time.Time) {
	if t := s.targets[name]; t != nil {
		t.belief = belief{faulty: initialFaulty, at: now}
		s.updateSuspicion(now, t)
		s.dispatch(now)
	}
}

// Tick implements Scheduler.
func (s *steered) Tick(now time.Time) {
	s.lastTick = now
	for _, t := range s.order {
		t.limit.tick(now, t.Slots, limitRecovery)
		s.updateSuspicion(now, t)
	}
	s.expire(now)
	s.sortWaiting(now)
	s.refuseLate(now)
	s.dispatch(now)
}

// Queued returns the number of waiting attempts.
func (s *steered) Queued() int { return len(s.waiting) }

// Next implements Scheduler.
func (s *steered) Next() time.Time {
	if len(s.waiting) == 0 && len(s.running) == 0 {
		return time.Time{}
	}
	return s.lastTick.Add(steeredTick)
}

// Snapshot implements Scheduler.
func (s *steered) Snapshot(time.Time) Snapshot {
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
