package event

import (
	"cmp"
	"slices"
	"sync"
)

// Ring keeps the latest events in memory. Events on single requests and events
// on the state of the fleet have a half each, so that many refusals at once
// can't displace the ejections before them. All methods may be called from any
// goroutine; each holds a lock only while it copies.
type Ring struct {
	mu sync.Mutex
	// requests and state are the halves.
	requests, state lane
	// next is the sequence number of the next event.
	next uint64
}

// lane is one half of a Ring.
type lane struct {
	// entries holds the n-th event of the lane at n modulo the length.
	entries []entry
	// count is the number of events that the lane was ever given.
	count uint64
}

// entry is an event with its sequence number in the whole Ring.
type entry struct {
	sequence uint64
	event    Event
}

// NewRing returns a ring that keeps the given number of events, at least two.
func NewRing(size int) *Ring {
	half := max(size/2, 1)
	return &Ring{requests: lane{entries: make([]entry, half)}, state: lane{entries: make([]entry, half)}}
}

// Emit stores the event in place of the oldest one of its half.
func (r *Ring) Emit(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	into := &r.state
	if e.Kind.onRequest() {
		into = &r.requests
	}
	into.put(entry{sequence: r.next, event: e})
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
	found := append(r.state.find(q), r.requests.find(q)...)
	overwritten := r.state.overwritten() + r.requests.overwritten()
	r.mu.Unlock()
	slices.SortFunc(found, func(a, b entry) int { return cmp.Compare(a.sequence, b.sequence) })
	a := Answer{Overwritten: overwritten}
	for _, e := range found {
		a.Events = append(a.Events, e.event)
	}
	a.Events = latest(a.Events, q.Limit)
	return a
}

func (l *lane) put(e entry) {
	l.entries[l.count%uint64(len(l.entries))] = e
	l.count++
}

// overwritten returns the number of events that the lane no longer has.
func (l *lane) overwritten() uint64 {
	return l.count - min(l.count, uint64(len(l.entries)))
}

// find returns the events that the query selects, in no order.
func (l *lane) find(q Query) []entry {
	var found []entry
	for _, e := range l.entries[:min(l.count, uint64(len(l.entries)))] {
		if q.Match(e.event) {
			found = append(found, e)
		}
	}
	return found
}

// onRequest reports whether events of the kind are about a single request.
func (k Kind) onRequest() bool {
	switch k {
	case KindRefusal, KindShed, KindRetry, KindFailover:
		return true
	}
	return false
}

// latest returns the last events up to the limit; 0 sets no limit.
func latest(events []Event, limit int) []Event {
	if limit <= 0 || len(events) <= limit {
		return events
	}
	return events[len(events)-limit:]
}
