package pool

import (
	"slices"
	"time"
)

// overloadWait is the wait of the oldest attempt at which OrderLIFO turns to
// the newest.
const overloadWait = 100 * time.Millisecond

// attempt is a Request that the home has taken and not ended.
type attempt struct {
	Request
	route     *route
	submitted time.Time
	started   time.Time
	target    *target
	// dose says that the attempt was given to a doubtful target on purpose.
	dose bool
	// class is the kind of work that the attempt counts as.
	class class
	// charged is the category already charged to the target while running.
	charged category
}

// queue holds waiting attempts by arrival.
type queue struct {
	waiting []*attempt
}

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) push(a *attempt) { q.waiting = append(q.waiting, a) }

// remove takes the attempt with the given id out of the queue, if it waits.
func (q *queue) remove(id RequestID) *attempt {
	for i, a := range q.waiting {
		if a.ID == id {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			return a
		}
	}
	return nil
}

// work returns the expected service time of the class that waits.
func (q *queue) work(c class) time.Duration {
	var sum time.Duration
	for _, a := range q.waiting {
		if a.class == c {
			sum += a.route.mean
		}
	}
	return sum
}

// workOf returns the expected service time of what the caller has waiting of
// the class, and the number of its attempts.
func (q *queue) workOf(caller string, c class) (time.Duration, int) {
	var sum time.Duration
	n := 0
	for _, a := range q.waiting {
		if a.Caller == caller && a.class == c {
			sum += a.route.mean
			n++
		}
	}
	return sum, n
}

// inOrder returns the waiting attempts in the order in which they start.
func (q *queue) inOrder(o Order, now time.Time) []*attempt {
	switch {
	case o == OrderEDF:
		sorted := slices.Clone(q.waiting)
		slices.SortStableFunc(sorted, func(a, b *attempt) int { return a.Deadline.Compare(b.Deadline) })
		return sorted
	case o == OrderLIFO && len(q.waiting) > 0 && now.Sub(q.waiting[0].submitted) > overloadWait:
		reversed := slices.Clone(q.waiting)
		slices.Reverse(reversed)
		return reversed
	default:
		return q.waiting
	}
}
