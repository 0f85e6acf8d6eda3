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
	h.callers.requestSeen(now, a.Caller)
	if a.class == classShort {
		h.tightSlack.add(a.slack(now))
	}
	switch {
	case !a.Deadline.After(now):
		return Refusal{Reason: outcome.ReasonTooLate}, false
	case h.usableSlots(a.Exclude) == 0 && (len(a.Exclude) > 0 || !h.anyTrialDue(now)):
		return Refusal{Reason: outcome.ReasonNoTarget, RetryAfter: retryAfterMax}, false
	case h.queue.len() >= h.cfg.QueueLimit:
		return Refusal{Reason: outcome.ReasonQueueFull, RetryAfter: h.retryAfter(now, a)}, false
	case h.exceedsQueueShare(now, a):
		return Refusal{Reason: outcome.ReasonCallerShare, RetryAfter: h.retryAfter(now, a)}, false
	case h.expectedWait(now, a.class) > h.allowedWait(now, a):
		return Refusal{Reason: outcome.ReasonTooLate, RetryAfter: h.retryAfter(now, a)}, false
	}
	return Refusal{}, true
}

// usableSlots returns the slots, but for those of the excluded targets, that can
// run work now or when they are free.
func (h *home) usableSlots(exclude []string) int {
	n := 0
	for _, t := range h.order {
		if slices.Contains(exclude, t.Name) {
			continue
		}
		if t.state == StateServing || t.state == StateCold || t.state == StateSuspected {
			n += t.capacity()
		}
	}
	return n
}

// anyDoseDue says whether a doubtful target waits for a request.
func (h *home) anyTrialDue(now time.Time) bool {
	return slices.ContainsFunc(h.order, func(t *target) bool { return t.trialDue(now) })
}

// expectedWait returns how long the waiting work of the class keeps the slots
// for it busy.
func (h *home) expectedWait(now time.Time, c class) time.Duration {
	return h.drainTime(now, c, h.queue.backlog(c))
}

// spare returns the time that a has beyond its expected service time.
func (a *attempt) slack(now time.Time) time.Duration {
	return a.Deadline.Sub(now) - a.route.mean
}

// allowedWait returns the longest wait after which a likely ends in time, and
// which leaves the queue short enough for callers in more of a hurry. Long work
// waits no longer than about LongWait.
func (h *home) allowedWait(now time.Time, a *attempt) time.Duration {
	wait := func(spare time.Duration) time.Duration {
		return time.Duration(h.cfg.QueueWaitShare * float64(spare))
	}
	if a.class == classLong {
		return min(wait(a.slack(now)), h.cfg.LongWait)
	}
	return wait(h.tightSlack.clamp(a.slack(now)))
}

// hopeless says that a waiting attempt cannot end in time any more.
func (h *home) cannotFinish(now time.Time, a *attempt) bool {
	return !a.Deadline.After(now.Add(a.route.median))
}

// retryAfter returns when the queue has likely drained.
func (h *home) retryAfter(now time.Time, a *attempt) time.Duration {
	return min(max(h.expectedWait(now, a.class), retryAfterMin), retryAfterMax)
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
			Wait:   h.expectedWait(now, a.class),
		},
	})
	h.delegate.Refuse(a.ID, r)
}
