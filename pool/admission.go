package pool

import (
	"fmt"
	"slices"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
)

const (
	// retryAfterMin and retryAfterMax bound the Retry-After of a refusal.
	retryAfterMin = 100 * time.Millisecond
	retryAfterMax = 10 * time.Second
	// callerActive is how long a caller counts as active after a request.
	callerActive = time.Second
)

// admit reports whether a may be queued, and otherwise why not.
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

// usableSlots returns the slots of targets in service that can run requests now or
// once they are free, without those of the excluded targets.
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

// anyTrialDue reports whether a target is due for a trial request.
func (h *home) anyTrialDue(now time.Time) bool {
	return slices.ContainsFunc(h.order, func(t *target) bool { return t.trialDue(now) })
}

// expectedWait returns how long the waiting attempts of the class keep the slots
// for that class busy.
func (h *home) expectedWait(now time.Time, c class) time.Duration {
	return h.drainTime(now, c, h.queue.backlog(c))
}

// slack returns the time left until the deadline beyond the expected service time.
func (a *attempt) slack(now time.Time) time.Duration {
	return a.Deadline.Sub(now) - a.route.mean
}

// allowedWait returns the longest expected wait with which a may be queued. After
// it a is likely to end in time, and the queue remains short enough for callers with
// shorter deadlines. Long work waits no longer than about LongWait.
func (h *home) allowedWait(now time.Time, a *attempt) time.Duration {
	wait := func(slack time.Duration) time.Duration {
		return time.Duration(h.cfg.QueueWaitShare * float64(slack))
	}
	if a.class == classLong {
		return min(wait(a.slack(now)), h.cfg.LongWait)
	}
	return wait(h.tightSlack.clamp(a.slack(now)))
}

// cannotFinish reports whether a waiting attempt can no longer end in time.
func (h *home) cannotFinish(now time.Time, a *attempt) bool {
	return !a.Deadline.After(now.Add(a.route.median))
}

// retryAfter returns the time in which the queue is expected to drain.
func (h *home) retryAfter(now time.Time, a *attempt) time.Duration {
	return min(max(h.expectedWait(now, a.class), retryAfterMin), retryAfterMax)
}

// refuse ends an attempt that never started and records the reason.
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
