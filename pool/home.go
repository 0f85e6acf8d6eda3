package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"filbertmill.example/event"
)

// tickInterval is how often a busy home looks at what is due.
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
	haste      haste
	work       work
	routes     map[string]*route
	otherRoute *route
	// adopted says that a first list of targets was taken.
	adopted bool
	// doseCredit is the number of doses that normal starts have earned.
	doseCredit float64
	ticked     time.Time
}

// NewHome returns a Scheduler that counts the slots of each target exactly,
// queues what cannot start at once, and judges the targets by their work. It
// is meant to see all requests of its service.
func NewHome(cfg Config, d Delegate, seed uint64) Scheduler {
	return &home{
		cfg:        cfg.withDefaults(),
		delegate:   d,
		rng:        rand.New(rand.NewPCG(seed, 0)),
		targets:    make(map[string]*target),
		running:    make(map[RequestID]*attempt),
		routes:     make(map[string]*route),
		otherRoute: newRoute(""),
		doseCredit: 1,
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
	h.adopted = true
	h.dispatch(now)
}

// list takes one entry of the list of targets.
func (h *home) list(now time.Time, listed Target) {
	t := h.targets[listed.Name]
	if t == nil {
		t = newTarget(now, listed, h.firstState())
		h.targets[listed.Name] = t
		h.firstLook(now, t)
	}
	t.limit.slots = max(1, t.limit.slots+listed.Slots-t.Slots)
	t.Target = listed
	t.listed = true
}

// firstState returns the state of a target seen for the first time. Those of
// the first list were in service before this home was.
func (h *home) firstState() State {
	if h.adopted {
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
	h.callers.ended(a.Caller)
	h.work.hold(a.class, -1)
	if a.class == classLong {
		h.work.longEnded = now
	}
	t.discharge(a)
	h.countSlots(now, t, res.Verdict)
	h.learn(now, a, res)
	if res.Leaving {
		h.leave(now, t, RuleOwnSignal)
	}
	h.finishLeaving(now, t)
	h.judge(now)
	h.dispatch(now)
}

// countSlots adjusts t's limit to how it took an attempt.
func (h *home) countSlots(now time.Time, t *target, v Verdict) {
	switch v {
	case VerdictRefused:
		t.limit.refused(now, t.inFlight(), h.cfg.LimitRecovery)
		h.note(now, t, event.KindShed, RuleTargetRefused, event.Evidence{
			Threshold: float64(t.Slots), Score: float64(t.limit.slots), Wait: t.limit.pause,
		})
	case VerdictUnreachable:
		t.limit.hold(now)
		t.reach.refused = now
		h.askReach(now, t)
	case VerdictCancelled:
	default:
		t.limit.answered()
	}
}

// learn takes the end of an attempt as evidence about its route and target.
func (h *home) learn(now time.Time, a *attempt, res Result) {
	t := a.target
	s := sample{
		began: a.started, at: now, route: a.route, category: a.route.classify(res.Verdict, res.Latency),
		verdict: res.Verdict, latency: res.Latency, id: a.ID,
	}
	if t.state == StateProbation {
		if a.dose {
			h.answerProbation(now, t, s)
		}
		return
	}
	if res.Verdict == VerdictAnswered && t.state == StateServing {
		a.route.learn(res.Latency)
		h.work.learn(res.Latency)
	}
	h.take(now, t, s)
	if t.state == StateCold {
		h.warm(now, t, s)
	}
}

const (
	// warmScore is the log likelihood ratio of being slow at which a cold
	// target is warm; coldScore bounds it from above.
	warmScore = -2
	coldScore = 3
)

// warm takes an answer of a cold target; one that answers like its peers on
// all its slots is warm.
func (h *home) warm(now time.Time, t *target, s sample) {
	if s.category == categoryNone || s.failed() {
		return
	}
	t.good++
	t.slow = min(coldScore, t.slow+slowRatio(s.category, h.usualLately(now, t, s.route), 0))
	full := t.limit.slots >= t.Slots && t.slow <= warmScore
	overdue := now.Sub(t.since) >= h.cfg.WarmTime
	if full || overdue {
		t.samples = nil
		h.fire(now, t, triggerWarm, RuleWarm, event.Evidence{Samples: t.good, Score: t.slow, Threshold: warmScore})
	}
}

func (h *home) Tick(now time.Time) {
	h.ticked = now
	h.callers.forget(now)
	h.examineRunning(now)
	h.correctRunning(now)
	h.correctWaiting(now)
	h.reconsider(now)
	h.judge(now)
	for _, t := range slices.Clone(h.order) {
		h.tickTarget(now, t)
	}
	h.dispatch(now)
}

// tickTarget does what is due in t's state.
func (h *home) tickTarget(now time.Time, t *target) {
	if t.state != StateCold || t.good > 0 {
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
		h.decideReach(now, t)
	}
}

func (h *home) Next() time.Time {
	if h.idle() {
		return time.Time{}
	}
	return h.ticked.Add(tickInterval)
}

// idle says that time alone changes nothing.
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
