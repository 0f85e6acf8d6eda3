package pool

import (
	"slices"
	"strings"
	"time"

	"filbertmill.example/outcome"
)

// Submit implements Scheduler.
func (h *home) Submit(now time.Time, r Request) {
	a := &attempt{Request: r, submitted: now, route: h.routeOf(r.Route)}
	a.class = h.classOf(a.route)
	if a.class == classShort {
		h.workload.addOffered(now, a.route.mean)
	}
	if refusal, ok := h.admit(now, a); !ok {
		h.refuse(now, a, refusal)
		return
	}
	h.queue.push(a)
	h.dispatch(now)
}

// Cancel implements Scheduler.
func (h *home) Cancel(now time.Time, id RequestID) {
	if h.queue.remove(id) != nil {
		h.dispatch(now)
	}
}

// dispatch starts the waiting attempts that can start, and refuses those that can no
// longer end in time.
func (h *home) dispatch(now time.Time) {
	h.expire(now)
	for h.queue.len() > 0 && h.anyFree(now) {
		a, t := h.pick(now)
		if a == nil {
			return
		}
		h.queue.remove(a.ID)
		h.start(now, a, t)
	}
}

// anyFree reports whether any target could take an attempt.
func (h *home) anyFree(now time.Time) bool {
	for _, t := range h.order {
		if t.free(now) > 0 || t.trialDue(now) {
			return true
		}
	}
	return false
}

// pick returns the next attempt that can start, and its target.
func (h *home) pick(now time.Time) (*attempt, *target) {
	blocked := make(map[requirements]bool)
	for _, a := range h.queue.inOrder(h.cfg.Order, now) {
		req := requirements{class: a.class, idempotent: a.Idempotent, exclude: strings.Join(a.Exclude, ",")}
		if blocked[req] || !h.callerMayStart(a) || !h.classMayStart(now, a) {
			continue
		}
		if t := h.choose(now, a); t != nil {
			return a, t
		}
		blocked[req] = true
	}
	return nil, nil
}

// requirements is what the choice of a target depends on. If there is no target for
// one attempt, there is none for another with the same requirements.
type requirements struct {
	class      class
	idempotent bool
	exclude    string
}

// choose returns the target on which a is to run, or nil.
func (h *home) choose(now time.Time, a *attempt) *target {
	if t := h.chooseForTrial(now, a); t != nil {
		a.trial = true
		return t
	}
	normal := func(t *target) bool { return t.state == StateServing || t.state == StateCold }
	if a.class == classLong {
		normal = func(t *target) bool {
			return t.state == StateServing || t.state == StateCold || (t.state == StateSuspected && t.heldByFloor)
		}
		return h.mostPacked(now, a, normal)
	}
	if t := h.mostFree(now, a, normal); t != nil {
		return t
	}
	belowFloor := h.healthySlots(nil) < h.cfg.FloorSlots
	return h.mostFree(now, a, func(t *target) bool {
		return t.state == StateSuspected && (t.heldByFloor || belowFloor || a.Idempotent)
	})
}

// chooseForTrial returns a target that is due for a trial request, if a can be
// one: a may be retried and is not a retry itself.
func (h *home) chooseForTrial(now time.Time, a *attempt) *target {
	if h.trialCredit < 1 || a.class == classLong || !a.Idempotent || len(a.Exclude) > 0 {
		return nil
	}
	for _, t := range h.order {
		if t.trialDue(now) {
			return t
		}
	}
	return nil
}

// mostFree returns the fit target with the most free slots. Among equals it returns
// one that the attempt prefers, or else one at random.
func (h *home) mostFree(now time.Time, a *attempt, fit func(*target) bool) *target {
	var best *target
	var bestRank targetRank
	ties := 0
	for _, t := range h.order {
		r := targetRank{free: t.free(now), preferred: slices.Contains(a.Prefer, t.Name)}
		if r.free == 0 || r.less(bestRank) || !fit(t) || slices.Contains(a.Exclude, t.Name) {
			continue
		}
		if bestRank.less(r) {
			best, bestRank, ties = t, r, 1
			continue
		}
		ties++
		if h.rng.IntN(ties) == 0 {
			best = t
		}
	}
	return best
}

// targetRank orders fit targets for one attempt.
type targetRank struct {
	free      int
	preferred bool
}

// less reports whether r is a worse choice than other.
func (r targetRank) less(other targetRank) bool {
	if r.free != other.free {
		return r.free < other.free
	}
	return !r.preferred && other.preferred
}

// start runs a on t.
func (h *home) start(now time.Time, a *attempt, t *target) {
	a.started = now
	a.target = t
	if a.trial {
		h.trialCredit--
		t.probation.lastTrial = now
	} else {
		h.trialCredit = min(1, h.trialCredit+trialShare)
	}
	t.running[a.ID] = a
	h.running[a.ID] = a
	h.callers.slotTaken(a.Caller)
	h.workload.addRunning(a.class, 1)
	h.delegate.Start(a.ID, t.Name)
}

// expire refuses waiting attempts that can no longer end in time.
func (h *home) expire(now time.Time) {
	for _, a := range slices.Clone(h.queue.waiting) {
		if h.cannotFinish(now, a) {
			h.queue.remove(a.ID)
			h.refuse(now, a, Refusal{Reason: outcome.ReasonTooLate, RetryAfter: h.retryAfter(now, a)})
		}
	}
}
