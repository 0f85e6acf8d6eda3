package pool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
)

// compare orders the queue: by priority, then those that can still end when they
// are due before those that cannot, then by the time they are due.
func (a *steeredAttempt) compare(b *steeredAttempt) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.late, b.late), a.SoftDeadline.Compare(b.SoftDeadline))
}

// enqueue puts a in its place in the queue.
func (s *steered) enqueue(now time.Time, a *steeredAttempt) {
	a.late = s.lateness(now, a)
	i, _ := slices.BinarySearchFunc(s.waiting, a, func(o, a *steeredAttempt) int {
		// Behind its equals: they came first.
		return cmp.Or(o.compare(a), -1)
	})
	s.waiting = slices.Insert(s.waiting, i, a)
}

// sortWaiting renews the order of the queue, as some have become late.
func (s *steered) sortWaiting(now time.Time) {
	for _, a := range s.waiting {
		a.late = s.lateness(now, a)
	}
	slices.SortStableFunc(s.waiting, func(a, b *steeredAttempt) int { return a.compare(b) })
}

// lateness is 0 for an attempt that can still end when it is due, else 1.
func (s *steered) lateness(now time.Time, a *steeredAttempt) int {
	if now.Add(s.latency(a.Route)).After(a.SoftDeadline) {
		return 1
	}
	return 0
}

// expire refuses waiting attempts that cannot end in time any more.
func (s *steered) expire(now time.Time) {
	s.refuseWaiting(now, func(a *steeredAttempt) bool {
		return now.Add(s.latency(a.Route) / 2).After(a.Deadline)
	})
}

// refuseHopeless refuses late attempts that would not start in time behind the
// work that goes first: what waits before them, and what comes meanwhile.
func (s *steered) refuseLate(now time.Time) {
	var ahead time.Duration
	slots, left := s.queueSlots(now)
	s.refuseWaiting(now, func(a *steeredAttempt) bool {
		wait := time.Duration(float64(ahead) / slots / left)
		usual := s.latency(a.Route)
		if a.late == 1 && now.Add(wait+usual/2).After(a.Deadline) {
			return true
		}
		ahead += usual
		return false
	})
}

// refuseWaiting refuses the waiting attempts that are hopeless.
func (s *steered) refuseWaiting(now time.Time, hopeless func(*steeredAttempt) bool) {
	kept := s.waiting[:0]
	var refused []*steeredAttempt
	for _, a := range s.waiting {
		if hopeless(a) {
			refused = append(refused, a)
		} else {
			kept = append(kept, a)
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	for _, a := range refused {
		s.refuse(now, a, Refusal{Reason: outcome.ReasonTooLate, RetryAfter: s.drainTime(a)})
	}
}

// before says how many targets had the request of a, for those who read a refusal.
func (a *steeredAttempt) earlierAttempts() string {
	if len(a.Exclude) == 0 {
		return ""
	}
	return fmt.Sprintf("this was a further attempt; %d targets had the request before", len(a.Exclude))
}

// refuse ends an attempt that never started and records why.
func (s *steered) refuse(now time.Time, a *steeredAttempt, r Refusal) {
	s.delegate.Event(event.Event{
		Time: now, Kind: event.KindRefusal, Service: s.cfg.Service, Request: fmt.Sprint(a.ID), Rule: string(r.Reason),
		Evidence: event.Evidence{Queued: len(s.waiting), Wait: s.drainTime(a), HealthySlots: s.slots(a), Detail: a.earlierAttempts()},
	})
	s.countLoss(true)
	s.delegate.Refuse(a.ID, r)
}
