package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"filbertmill.example/outcome"
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
	order   []*target
	running map[RequestID]*attempt
	queue   queue
	// adopted says that a first list of targets was taken.
	adopted bool
	ticked  time.Time
}

// NewHome returns a Scheduler that counts the slots of each target exactly,
// queues what cannot start at once, and judges the targets by their work. It
// is meant to see all requests of its service.
func NewHome(cfg Config, d Delegate, seed uint64) Scheduler {
	return &home{
		cfg:      cfg.withDefaults(),
		delegate: d,
		rng:      rand.New(rand.NewPCG(seed, 0)),
		targets:  make(map[string]*target),
		running:  make(map[RequestID]*attempt),
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
	for _, t := range h.order {
		if !t.listed {
			h.leave(now, t)
		}
	}
	h.adopted = true
	h.sortTargets()
	h.dispatch(now)
}

// list takes one entry of the list of targets.
func (h *home) list(now time.Time, listed Target) {
	t := h.targets[listed.Name]
	if t == nil {
		t = newTarget(now, listed, h.firstState())
		h.targets[listed.Name] = t
	}
	t.limit.slots += listed.Slots - t.Slots
	t.Target = listed
	t.listed = true
	if listed.Leaving {
		h.leave(now, t)
	}
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

// leave gives t no more work and lets what it holds finish.
func (h *home) leave(_ time.Time, t *target) {
	if ok, _ := t.machine.CanFire(triggerLeave); ok {
		_ = t.machine.Fire(triggerLeave)
	}
}

func (h *home) Submit(now time.Time, r Request) {
	a := &attempt{Request: r, submitted: now}
	if !r.Deadline.After(now) {
		h.refuse(a, Refusal{Reason: outcome.ReasonTooLate})
		return
	}
	if h.queue.len() >= h.cfg.QueueLimit {
		h.refuse(a, Refusal{Reason: outcome.ReasonQueueFull, RetryAfter: time.Second})
		return
	}
	h.queue.push(a)
	h.dispatch(now)
}

func (h *home) refuse(a *attempt, r Refusal) {
	h.delegate.Refuse(a.ID, r)
}

func (h *home) Cancel(_ time.Time, id RequestID) {
	h.queue.remove(id)
}

func (h *home) Finish(now time.Time, id RequestID, res Result) {
	a := h.running[id]
	if a == nil {
		return
	}
	delete(h.running, id)
	t := a.target
	delete(t.running, id)
	switch res.Verdict {
	case VerdictRefused:
		t.limit.refused(now, t.inFlight(), h.cfg.LimitRecovery)
	case VerdictUnreachable:
		t.limit.hold(now)
	default:
		t.limit.answered()
	}
	if res.Leaving {
		h.leave(now, t)
	}
	h.dispatch(now)
}

func (h *home) Observe(now time.Time, o Observation) {
	if t := h.targets[o.Target]; t != nil && o.Leaving {
		h.leave(now, t)
	}
}

func (h *home) Absolve(time.Time, string, time.Time) {}

func (h *home) Tick(now time.Time) {
	h.ticked = now
	for _, t := range h.order {
		t.limit.tick(now, t.Slots, h.cfg.LimitRecovery)
	}
	h.dispatch(now)
}

func (h *home) Next() time.Time {
	if h.queue.len() == 0 && len(h.running) == 0 {
		return time.Time{}
	}
	return h.ticked.Add(tickInterval)
}

// dispatch starts what can start.
func (h *home) dispatch(now time.Time) {
	for i := 0; i < len(h.queue.waiting); {
		a := h.queue.waiting[i]
		if !a.Deadline.After(now) {
			h.queue.remove(a.ID)
			h.refuse(a, Refusal{Reason: outcome.ReasonTooLate})
			continue
		}
		t := h.choose(now, a)
		if t == nil {
			i++
			continue
		}
		h.queue.remove(a.ID)
		h.start(now, a, t)
	}
}

// choose returns the target with the most free slots that may run a, or nil.
func (h *home) choose(now time.Time, a *attempt) *target {
	var best *target
	ties := 0
	for _, t := range h.order {
		if !h.mayRun(now, a, t) {
			continue
		}
		switch free := t.capacity() - t.inFlight(); {
		case best == nil || free > best.capacity()-best.inFlight():
			best, ties = t, 1
		case free == best.capacity()-best.inFlight():
			ties++
			if h.rng.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

// mayRun says whether t may run a now.
func (h *home) mayRun(now time.Time, a *attempt, t *target) bool {
	return (t.state == StateServing || t.state == StateCold) &&
		t.inFlight() < t.capacity() &&
		!now.Before(t.limit.pausedUntil) &&
		!slices.Contains(a.Exclude, t.Name)
}

func (h *home) start(now time.Time, a *attempt, t *target) {
	a.started = now
	a.target = t
	t.running[a.ID] = a
	h.running[a.ID] = a
	h.delegate.Start(a.ID, t.Name)
}

func (h *home) Snapshot(time.Time) Snapshot {
	snap := Snapshot{
		Service:    h.cfg.Service,
		Queued:     h.queue.len(),
		FloorSlots: h.cfg.FloorSlots,
	}
	for _, t := range h.order {
		if t.state == StateServing {
			snap.HealthySlots += t.capacity()
		}
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
