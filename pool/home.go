package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"filbertmill.example/event"
)

// tickInterval is the interval between ticks of a busy home.
const tickInterval = 20 * time.Millisecond

// home schedules all requests of one service.
type home struct {
	cfg      Config
	delegate Delegate
	rng      *rand.Rand
	targets  map[string]*target
	// order lists the targets by name, so that decisions are reproducible.
	order      []*target
	running    map[RequestID]*attempt
	queue      queue
	callers    callers
	tightSlack tightSlack
	workload   workload
	routes     map[string]*route
	otherRoute *route
	// hasTargetList is set once a list of targets was received.
	hasTargetList bool
	// trialCredit is the number of trial requests that normal starts have earned.
	trialCredit float64
	lastTick    time.Time
}

// NewHome returns the Scheduler for the home of a service, which must see all of
// the service's requests. It counts the slots of each target exactly, queues what
// cannot start immediately, and judges the targets by the outcomes of requests.
func NewHome(cfg Config, d Delegate, seed uint64) Scheduler {
	return &home{
		cfg:         cfg.withDefaults(),
		delegate:    d,
		rng:         rand.New(rand.NewPCG(seed, 0)),
		targets:     make(map[string]*target),
		running:     make(map[RequestID]*attempt),
		routes:      make(map[string]*route),
		otherRoute:  newRoute(""),
		trialCredit: 1,
	}
}

func (h *home) SetConfig(now time.Time, cfg Config) {
	h.cfg = cfg.withDefaults()
	h.dispatch(now)
}

func (h *home) SetTargets(now time.Time, targets []Target) {
	for _, t := range h.targets {
		t.listed = false
	}
	for _, listed := range targets {
		h.list(now, listed)
	}
	h.sortTargets()
	for _, t := range h.order {
		if !t.listed || t.Leaving {
			h.leave(now, t, RuleListed)
		} else {
			h.rejoin(now, t, RuleListed)
		}
	}
	h.hasTargetList = true
	h.dispatch(now)
}

// list adds or updates the target of one entry of the list.
func (h *home) list(now time.Time, listed Target) {
	t := h.targets[listed.Name]
	if t == nil {
		t = newTarget(now, listed, h.initialState())
		h.targets[listed.Name] = t
		h.startInitialProbe(now, t)
	}
	t.limit.slots = max(1, t.limit.slots+listed.Slots-t.Slots)
	t.Target = listed
	t.listed = true
}

// initialState returns the state of a target that is seen for the first time. The
// targets of the first list were in service before this home took over.
func (h *home) initialState() State {
	if h.hasTargetList {
		return StateCold
	}
	return StateServing
}

func (h *home) sortTargets() {
	h.order = h.order[:0]
	for _, t := range h.targets {
		h.order = append(h.order, t)
	}
	slices.SortFunc(h.order, func(a, b *target) int { return cmp.Compare(a.Name, b.Name) })
}

func (h *home) Finish(now time.Time, id RequestID, res Result) {
	a := h.running[id]
	if a == nil {
		return
	}
	t := a.target
	delete(h.running, id)
	delete(t.running, id)
	h.callers.slotReleased(a.Caller)
	h.workload.addRunning(a.class, -1)
	if a.class == classLong {
		h.workload.longEnded = now
	}
	t.dropRunningSample(a)
	h.adjustLimit(now, t, res.Verdict)
	h.learn(now, a, res)
	if res.Leaving {
		h.leave(now, t, RuleOwnSignal)
	}
	h.finishLeaving(now, t)
	h.evaluateTargets(now)
	h.dispatch(now)
}

// adjustLimit adjusts t's limit by the outcome of an attempt.
func (h *home) adjustLimit(now time.Time, t *target, v Verdict) {
	switch v {
	case VerdictRefused:
		t.limit.lower(now, t.inFlight(), h.cfg.LimitRecovery)
		h.recordEvent(now, t, event.KindShed, RuleTargetRefused, event.Evidence{
			Threshold: float64(t.Slots), Score: float64(t.limit.slots), Wait: t.limit.pause,
		})
	case VerdictUnreachable:
		t.limit.backOff(now)
		t.reachability.connRefusedAt = now
		h.probeReachability(now, t)
	case VerdictCancelled:
	default:
		t.limit.resetPause()
	}
}

// learn records the end of an attempt as evidence about its route and target.
func (h *home) learn(now time.Time, a *attempt, res Result) {
	t := a.target
	s := sample{
		started: a.started, at: now, route: a.route, category: a.route.classify(res.Verdict, res.Latency),
		verdict: res.Verdict, latency: res.Latency, id: a.ID,
	}
	if t.state == StateProbation {
		if a.trial {
			h.recordProbationAnswer(now, t, s)
		}
		return
	}
	if res.Verdict == VerdictAnswered && t.state == StateServing {
		a.route.learn(res.Latency)
		h.workload.learnLatency(res.Latency)
	}
	h.addEvidence(now, t, s)
	if t.state == StateCold {
		h.recordColdAnswer(now, t, s)
	}
}

const (
	// warmScoreMax is the log likelihood ratio of being slow up to which a cold
	// target counts as warm. slowScoreMax bounds that ratio from above.
	warmScoreMax = -2
	slowScoreMax = 3
)

// recordColdAnswer records an answer of a cold target. The target is warm once it
// answers as fast as its peers on all its slots, and after WarmTime in any case.
func (h *home) recordColdAnswer(now time.Time, t *target, s sample) {
	if s.category == categoryNone || s.failed() {
		return
	}
	t.coldAnswers++
	t.coldSlowScore = min(slowScoreMax, t.coldSlowScore+slowLogRatio(s.category, h.recentBaseline(now, t, s.route), 0))
	warm := t.limit.slots >= t.Slots && t.coldSlowScore <= warmScoreMax
	overdue := now.Sub(t.stateSince) >= h.cfg.WarmTime
	if warm || overdue {
		t.samples = nil
		h.fire(now, t, triggerWarm, RuleWarm, event.Evidence{Samples: t.coldAnswers, Score: t.coldSlowScore, Threshold: warmScoreMax})
	}
}

func (h *home) Tick(now time.Time) {
	h.lastTick = now
	h.callers.purge(now)
	h.sampleRunning(now)
	h.reclassifyRunning(now)
	h.reclassifyWaiting(now)
	h.reviewSuspected(now)
	h.evaluateTargets(now)
	for _, t := range slices.Clone(h.order) {
		h.tickTarget(now, t)
	}
	h.dispatch(now)
}

// tickTarget does the work that depends on time alone in t's state.
func (h *home) tickTarget(now time.Time, t *target) {
	if t.state != StateCold || t.coldAnswers > 0 {
		t.limit.tick(now, t.Slots, h.cfg.LimitRecovery)
	}
	switch t.state {
	case StateEjected:
		h.tickEjected(now, t)
	case StateProbation:
		h.tickProbation(now, t)
	case StateDraining, StateGone:
		h.tickLeaving(now, t)
	case StateCold, StateServing, StateSuspected:
		h.applyReachability(now, t)
	}
}

func (h *home) Next() time.Time {
	if h.idle() {
		return time.Time{}
	}
	return h.lastTick.Add(tickInterval)
}

// idle reports whether time alone changes nothing.
func (h *home) idle() bool {
	if h.queue.len() > 0 || len(h.running) > 0 {
		return false
	}
	for _, t := range h.order {
		if t.state != StateServing || t.limit.slots < t.Slots {
			return false
		}
	}
	return true
}

func (h *home) Snapshot(time.Time) Snapshot {
	snap := Snapshot{
		Service:      h.cfg.Service,
		Queued:       h.queue.len(),
		HealthySlots: h.healthySlots(nil),
		FloorSlots:   h.cfg.FloorSlots,
	}
	for _, t := range h.order {
		snap.Targets = append(snap.Targets, TargetStatus{
			Name:     t.Name,
			State:    string(t.state),
			Slots:    t.Slots,
			Limit:    t.capacity(),
			InFlight: t.inFlight(),
		})
	}
	return snap
}
