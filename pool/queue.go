package pool

import (
	"slices"
	"time"
)

// attempt is a Request that the home has taken and not ended.
type attempt struct {
	Request
	submitted time.Time
	started   time.Time
	target    *target
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
