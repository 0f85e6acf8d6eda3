package pool

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
)

// compare orders the queue: attempts of starved callers first, then by priority, then
// attempts that can still meet their soft deadline before those that cannot, then those of
// callers that have had more than their part behind the others, then by soft deadline.
func (a *leastCostAttempt) compare(b *leastCostAttempt) int {
	return cmp.Or(
		cmp.Compare(a.first, b.first), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.late, b.late),
		cmp.Compare(a.behind, b.behind), a.SoftDeadline.Compare(b.SoftDeadline))
}

// goesBefore reports whether a starts before b whatever their deadlines are.
func (a *leastCostAttempt) goesBefore(b *leastCostAttempt) bool {
	return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.behind, b.behind)) <= 0
}

// place updates what determines the position of a in the queue.
func (s *leastCost) place(now time.Time, a *leastCostAttempt) {
	a.late = s.lateness(now, a)
	a.first, a.behind = s.shares.place(now, a)
}

// enqueue inserts a at its position in the queue.
func (s *leastCost) enqueue(a *leastCostAttempt) {
	i, _ := slices.BinarySearchFunc(s.waiting, a, func(o, a *leastCostAttempt) int {
		// a goes behind equal attempts, which arrived earlier.
		return cmp.Or(o.compare(a), -1)
	})
	s.waiting = slices.Insert(s.waiting, i, a)
}

// sortWaiting restores the order of the queue, because attempts become late over time.
func (s *leastCost) sortWaiting(now time.Time) {
	for _, a := range s.waiting {
		s.place(now, a)
	}
	slices.SortStableFunc(s.waiting, func(a, b *leastCostAttempt) int { return a.compare(b) })
}

// lateness returns 0 for an attempt that can still meet its soft deadline, else 1.
func (s *leastCost) lateness(now time.Time, a *leastCostAttempt) int {
	if now.Add(s.latency(a.Route)).After(a.SoftDeadline) {
		return 1
	}
	return 0
}

// expire refuses waiting attempts that can no longer end by their deadline.
func (s *leastCost) expire(now time.Time) {
	s.refuseWaiting(now, func(a *leastCostAttempt) bool {
		return now.Add(s.latency(a.Route) / 2).After(a.Deadline)
	})
}

// refuseLate refuses late attempts that are not expected to start in time behind
// the work that goes first: the attempts ahead of them in the queue, and those
// that arrive while they wait.
func (s *leastCost) refuseLate(now time.Time) {
	var ahead time.Duration
	slots, left := s.queueSlots(now)
	s.refuseWaiting(now, func(a *leastCostAttempt) bool {
		wait := time.Duration(float64(ahead) / slots / left)
		usual := s.latency(a.Route)
		if a.late == 1 && now.Add(wait+usual/2).After(a.Deadline) {
			return true
		}
		ahead += usual
		return false
	})
}

// refuseWaiting refuses the waiting attempts for which tooLate returns true.
func (s *leastCost) refuseWaiting(now time.Time, tooLate func(*leastCostAttempt) bool) {
	kept := s.waiting[:0]
	var refused []*leastCostAttempt
	for _, a := range s.waiting {
		if tooLate(a) {
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

// earlierAttempts describes, for the refusal event, how many targets had the
// request of a before.
func (a *leastCostAttempt) earlierAttempts() string {
	if len(a.Exclude) == 0 {
		return ""
	}
	return fmt.Sprintf("this was a further attempt; %d targets had the request before", len(a.Exclude))
}

// refusalDetail describes, for the refusal event, what a was refused for besides the
// work ahead of it.
func (s *leastCost) refusalDetail(a *leastCostAttempt) string {
	details := []string{a.earlierAttempts(), s.limitedTargets(a)}
	return strings.Join(slices.DeleteFunc(details, func(d string) bool { return d == "" }), "; ")
}

// refuse ends an attempt that never started and records the reason.
func (s *leastCost) refuse(now time.Time, a *leastCostAttempt, r Refusal) {
	s.delegate.Event(event.Event{
		Time: now, Kind: event.KindRefusal, Service: s.cfg.Service, Request: fmt.Sprint(a.ID), Rule: string(r.Reason),
		Evidence: event.Evidence{Queued: len(s.waiting), Wait: s.drainTime(a), HealthySlots: int(s.slots(a)), Detail: s.refusalDetail(a)},
	})
	s.losses.add(now, true)
	s.delegate.Refuse(a.ID, r)
}
