package pool

import (
	"slices"
	"time"
)

// overloadWait is the wait of the oldest attempt above which OrderLIFO starts the
// newest first.
const overloadWait = 100 * time.Millisecond

// attempt is a Request that the home has accepted and that has not ended.
type attempt struct {
	Request
	route     *route
	submitted time.Time
	started   time.Time
	target    *target
	// trial is set if the attempt was deliberately given to a doubtful target.
	trial bool
	// class is the class of work that the attempt counts as.
	class class
	// runningCategory is the category of the sample that was recorded about the
	// attempt while it was still running.
	runningCategory category
}

// queue holds the waiting attempts in order of arrival.
type queue struct {
	waiting []*attempt
}

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) push(a *attempt) { q.waiting = append(q.waiting, a) }

// remove removes the attempt with the given id and returns it, or nil if it isn't
// in the queue.
func (q *queue) remove(id RequestID) *attempt {
	for i, a := range q.waiting {
		if a.ID == id {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			return a
		}
	}
	return nil
}

// backlog is the amount of waiting work of one class.
type backlog struct {
	attempts int
	// work is the sum of the expected service times.
	work time.Duration
}

func (b *backlog) add(a *attempt) {
	b.attempts++
	b.work += a.route.mean
}

// backlog returns the waiting work of the class.
func (q *queue) backlog(c class) backlog {
	var b backlog
	for _, a := range q.waiting {
		if a.class == c {
			b.add(a)
		}
	}
	return b
}

// backlogOf returns one caller's waiting work of the class.
func (q *queue) backlogOf(caller string, c class) backlog {
	var b backlog
	for _, a := range q.waiting {
		if a.Caller == caller && a.class == c {
			b.add(a)
		}
	}
	return b
}

// inOrder returns the waiting attempts in the order in which they start.
func (q *queue) inOrder(o Order, now time.Time) []*attempt {
	switch {
	case o == OrderEDF:
		sorted := slices.Clone(q.waiting)
		slices.SortStableFunc(sorted, func(a, b *attempt) int {
			if a.Priority != b.Priority {
				return a.Priority - b.Priority
			}
			return a.Deadline.Compare(b.Deadline)
		})
		return sorted
	case o == OrderLIFO && len(q.waiting) > 0 && now.Sub(q.waiting[0].submitted) > overloadWait:
		reversed := slices.Clone(q.waiting)
		slices.Reverse(reversed)
		return reversed
	default:
		return q.waiting
	}
}
