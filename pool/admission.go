package pool

import (
	"fmt"
	"slices"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
)

const (
	// retryAfterMin and retryAfterMax bound the advice to a refused caller.
	retryAfterMin = 100 * time.Millisecond
	retryAfterMax = 10 * time.Second
	// callerActive is how long a caller counts as present after a request.
	callerActive = time.Second
)

// admit says whether a is worth a place in the queue.
func (h *home) admit(now time.Time, a *attempt) (Refusal, bool) {
	h.callers.saw(now, a.Caller)
	switch {
	case !a.Deadline.After(now):
		return Refusal{Reason: outcome.ReasonTooLate}, false
	case h.usableSlots() == 0 && !h.anyDoseDue(now):
		return Refusal{Reason: outcome.ReasonNoTarget, RetryAfter: retryAfterMax}, false
	case h.queue.len() >= h.cfg.QueueLimit:
		return Refusal{Reason: outcome.ReasonQueueFull, RetryAfter: h.retryAfter()}, false
	case h.callerHoldsShare(now, a):
		return Refusal{Reason: outcome.ReasonCallerShare, RetryAfter: h.retryAfter()}, false
	case h.expectedWait(h.queue.work()) > h.allowedWait(now, a):
		return Refusal{Reason: outcome.ReasonTooLate, RetryAfter: h.retryAfter()}, false
	}
	return Refusal{}, true
}

// usableSlots returns the slots that can run work now or when they are free.
func (h *home) usableSlots() int {
	n := 0
	for _, t := range h.order {
		if t.state == StateServing || t.state == StateCold || t.state == StateSuspected {
			n += t.capacity()
		}
	}
	return n
}

// anyDoseDue says whether a doubtful target waits for a request.
func (h *home) anyDoseDue(now time.Time) bool {
	return slices.ContainsFunc(h.order, func(t *target) bool { return t.doseDue(now) })
}

// expectedWait returns how long the given work ahead keeps all slots busy.
func (h *home) expectedWait(work time.Duration) time.Duration {
	return work / time.Duration(max(1, h.usableSlots()))
}

// allowedWait returns the longest wait after which a likely ends in time.
func (h *home) allowedWait(now time.Time, a *attempt) time.Duration {
	spare := a.Deadline.Sub(now) - a.route.mean
	return time.Duration(h.cfg.QueueWaitShare * float64(spare))
}

// hopeless says that a waiting attempt cannot end in time any more.
func (h *home) hopeless(now time.Time, a *attempt) bool {
	return !a.Deadline.After(now.Add(a.route.median))
}

// retryAfter returns when the queue has likely drained.
func (h *home) retryAfter() time.Duration {
	return min(max(h.expectedWait(h.queue.work()), retryAfterMin), retryAfterMax)
}

// refuse ends an attempt that never started and records why.
func (h *home) refuse(now time.Time, a *attempt, r Refusal) {
	h.delegate.Event(event.Event{
		Time:    now,
		Kind:    event.KindRefusal,
		Service: h.cfg.Service,
		Request: fmt.Sprint(a.ID),
		Rule:    string(r.Reason),
		Evidence: event.Evidence{
			Queued: h.queue.len(),
			Wait:   h.expectedWait(h.queue.work()),
		},
	})
	h.delegate.Refuse(a.ID, r)
}
