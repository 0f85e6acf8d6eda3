package event

import "sync"

// Ring keeps the latest events in memory. All methods may be called from any
// goroutine; each holds a lock only while it copies.
type Ring struct {
	mu sync.Mutex
	// events holds the event with the sequence number n at n modulo the size.
	events []Event
	// next is the sequence number of the next event.
	next uint64
}

// NewRing returns a ring that keeps the given number of events, at least one.
func NewRing(size int) *Ring {
	return &Ring{events: make([]Event, max(size, 1))}
}

// Emit stores the event in place of the oldest one.
func (r *Ring) Emit(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next%uint64(len(r.events))] = e
	r.next++
}

// Answer is what a ring holds for a query.
type Answer struct {
	// Node is the node that answers.
	Node string `json:"node" cbor:"1,keyasint"`
	// Events are the events that the query selects, oldest first.
	Events []Event `json:"events" cbor:"2,keyasint"`
	// Overwritten is the number of events that the ring has lost to newer
	// ones since the node started; any of them might have matched.
	Overwritten uint64 `json:"overwritten" cbor:"3,keyasint"`
}

// Find returns the events that the query selects; Node is left empty.
func (r *Ring) Find(q Query) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.events))
	var a Answer
	if r.next > size {
		a.Overwritten = r.next - size
	}
	for n := a.Overwritten; n < r.next; n++ {
		if e := r.events[n%size]; q.Match(e) {
			a.Events = append(a.Events, e)
		}
	}
	a.Events = latest(a.Events, q.Limit)
	return a
}

// latest returns the last events up to the limit; 0 sets no limit.
func latest(events []Event, limit int) []Event {
	if limit <= 0 || len(events) <= limit {
		return events
	}
	return events[len(events)-limit:]
}
