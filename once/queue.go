package once

import (
	"time"

	"filbertmill.example/outcome"
)

// queuedKey is a key whose request waits for a place. Nothing is claimed yet.
type queuedKey struct {
	owner     waiter
	followers []waiter
}

// enqueue has a request wait for a place, or behind the one that does so for
// the same key. It reports false if the request has a place already, or may
// not run at all.
func (h *Home) enqueue(now time.Time, w waiter) bool {
	if w.admitted || now.Before(h.lostUntil) {
		return false
	}
	if q := h.queued[w.Key]; q != nil {
		q.followers = append(q.followers, w)
		return true
	}
	h.queued[w.Key] = &queuedKey{owner: w}
	h.delegate.Admit(w.ID)
	return true
}

// Admitted tells that a request has a place. Its key is claimed now.
func (h *Home) Admitted(now time.Time, r Request) {
	q := h.queued[r.Key]
	if q == nil || q.owner.ID != r.ID {
		panic("once: a request was admitted that does not wait for a place")
	}
	delete(h.queued, r.Key)
	h.resume(now, waiter{Request: r, arrived: now, before: h.lastOp, admitted: true})
	for _, w := range q.followers {
		h.resume(now, w)
	}
	h.Tick(now)
}

// resume takes the next step for a request that waited.
func (h *Home) resume(now time.Time, w waiter) {
	if !h.known(now, w.Request) {
		h.offer(now, w)
	}
}

// Refused tells that a request got no place, and what its caller is told. Those
// who waited behind it are told the same.
func (h *Home) Refused(r Request, res Result) {
	q := h.queued[r.Key]
	if q == nil || q.owner.ID != r.ID {
		panic("once: a request was refused that does not wait for a place")
	}
	if res.Outcome.Kind != outcome.NotRun {
		panic("once: a request that got no place may not have run")
	}
	delete(h.queued, r.Key)
	for _, w := range q.followers {
		h.delegate.Reply(w.ID, res)
	}
}

// leaveQueue withdraws a request that waits for a place; the next one with the
// same key takes its turn.
func (h *Home) leaveQueue(now time.Time, r Request) {
	q := h.queued[r.Key]
	if q == nil {
		return
	}
	q.followers = withoutWaiter(q.followers, r.ID)
	if q.owner.ID != r.ID {
		return
	}
	delete(h.queued, r.Key)
	for _, w := range q.followers {
		h.resume(now, w)
	}
}
