package event

import (
	"cmp"
	"slices"
	"sync"
)

// Ring keeps the latest events in memory. Half of it holds events on single
// requests, the other half events on the state of the fleet, so that a burst
// of refusals can't displace the ejections before it. All methods are safe for
// concurrent use; each holds a lock only while it copies.
type Ring struct {
	mu sync.Mutex
	// requests and state are the two halves.
	requests, state ringBuffer
	// next is the sequence number of the next event.
	next uint64
}

// ringBuffer is one half of a Ring.
type ringBuffer struct {
	// entries holds the n-th event of the buffer at index n modulo the length.
	entries []entry
	// count is the number of events ever put into the buffer.
	count uint64
}

// entry is an event with its sequence number, which counts over both halves of the Ring.
type entry struct {
	sequence uint64
	event    Event
}

// NewRing returns a ring for size events, at least two.
func NewRing(size int) *Ring {
	half := max(size/2, 1)
	return &Ring{requests: ringBuffer{entries: make([]entry, half)}, state: ringBuffer{entries: make([]entry, half)}}
}

// Emit stores the event; if its half of the ring is full, the event replaces
// the oldest one there.
func (r *Ring) Emit(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	buffer := &r.state
	if e.Kind.onRequest() {
		buffer = &r.requests
	}
	buffer.put(entry{sequence: r.next, event: e})
	r.next++
}

// QueryResult holds the events of one node that a query selects.
type QueryResult struct {
	// Node is the node that recorded the events.
	Node string `json:"node" cbor:"1,keyasint"`
	// Events are the events that the query selects, oldest first.
	Events []Event `json:"events" cbor:"2,keyasint"`
	// Overwritten is the number of events that newer ones have replaced since
	// the node started; any of them might have matched the query.
	Overwritten uint64 `json:"overwritten" cbor:"3,keyasint"`
}

// Find returns the events that the query selects; Node is left empty.
func (r *Ring) Find(q Query) QueryResult {
	r.mu.Lock()
	found := append(r.state.find(q), r.requests.find(q)...)
	overwritten := r.state.overwritten() + r.requests.overwritten()
	r.mu.Unlock()
	slices.SortFunc(found, func(a, b entry) int { return cmp.Compare(a.sequence, b.sequence) })
	result := QueryResult{Overwritten: overwritten}
	for _, e := range found {
		result.Events = append(result.Events, e.event)
	}
	result.Events = latest(result.Events, q.Limit)
	return result
}

func (b *ringBuffer) put(e entry) {
	b.entries[b.count%uint64(len(b.entries))] = e
	b.count++
}

// overwritten returns the number of events that the buffer no longer holds.
func (b *ringBuffer) overwritten() uint64 {
	return b.count - min(b.count, uint64(len(b.entries)))
}

// find returns the events that the query selects, in no particular order.
func (b *ringBuffer) find(q Query) []entry {
	var found []entry
	for _, e := range b.entries[:min(b.count, uint64(len(b.entries)))] {
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
