package once

import (
	"time"

	"filbertmill.example/outcome"
)

// queuedKey is a key whose owner waits to be admitted. Nothing is claimed yet.
// Followers are requests with the same key that wait for the owner.
type queuedKey struct {
	owner     waiter
	followers []waiter
}

// enqueue has a request wait to be admitted, or wait for a queued request with the
// same key. It reports false if the request was already admitted, or if it cannot be
// run because a copy of earlier keys was lost.
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

// Admitted handles the admission of a request. Its key is claimed now.
func (h *Home) Admitted(now time.Time, r Request) {
	q := h.queued[r.Key]
	if q == nil || q.owner.ID != r.ID {
		panic("once: admitted request was not waiting for admission")
	}
	delete(h.queued, r.Key)
	h.resume(now, waiter{Request: q.owner.Request, arrived: now, lastOpBefore: h.lastOp, admitted: true})
	for _, w := range q.followers {
		h.resume(now, w)
	}
	h.Tick(now)
}

// resume continues with a request that was queued.
func (h *Home) resume(now time.Time, w waiter) {
	if !h.replyIfKnown(now, w.Request) {
		h.process(now, w)
	}
}

// refusal is the result of a request that was not admitted, and of those that waited
// for it. It is held back until the witnesses have confirmed that this home still
// holds the tenure.
type refusal struct {
	result      Result
	waiters     []waiter
	pendingAcks int
}

// Refused handles the refusal to admit a request. The Home replies with the result
// to the request, and to those that wait for it, once the witnesses have confirmed
// that no other home can have run the key. Otherwise they become pending and wait
// for the tenure.
func (h *Home) Refused(now time.Time, r Request, res Result) {
	q := h.queued[r.Key]
	if q == nil || q.owner.ID != r.ID {
		panic("once: refused request was not waiting for admission")
	}
	if res.Outcome.Kind != outcome.NotRun {
		panic("once: outcome of a request that was not admitted must be not-run")
	}
	delete(h.queued, r.Key)
	ref := &refusal{result: res, waiters: append([]waiter{q.owner}, q.followers...), pendingAcks: len(h.current.witnesses)}
	if !h.active() {
		h.requeue(ref)
		h.Tick(now)
		return
	}
	if ref.pendingAcks == 0 {
		h.replyRefusal(ref, res)
		return
	}
	for _, member := range h.current.witnesses {
		h.send(now, member, Enlist{}, op{kind: opRefusal, refusal: ref})
	}
}

// handleRefusalAck handles a witness's answer about a refusal.
func (h *Home) handleRefusalAck(now time.Time, o op, a Ack, answered bool) {
	ref := o.refusal
	if len(ref.waiters) == 0 {
		return
	}
	if !answered || a.Member != o.member || a.Epoch != h.epoch || a.Installed != h.epoch {
		h.requeue(ref)
		h.handleWitnessFailure(now, a, answered && a.Epoch > h.epoch)
		return
	}
	ref.pendingAcks--
	if ref.pendingAcks == 0 {
		h.replyRefusal(ref, ref.result)
	}
}

// replyRefusal replies to all requests that the refusal ends.
func (h *Home) replyRefusal(ref *refusal, res Result) {
	for _, w := range ref.waiters {
		h.delegate.Reply(w.ID, res)
	}
	ref.waiters = nil
}

// requeue makes the requests of a refusal that was not confirmed pending again.
func (h *Home) requeue(ref *refusal) {
	h.pending = append(h.pending, ref.waiters...)
	ref.waiters = nil
}

// requeueRefusals requeues all refusals that are not yet confirmed.
func (h *Home) requeueRefusals() {
	for _, o := range h.ops {
		if o.refusal != nil {
			h.requeue(o.refusal)
		}
	}
}

// handedOverResult returns the result of a request that another home has to serve.
func (h *Home) handedOverResult() Result {
	return Result{
		Outcome: outcome.New(outcome.ReasonHomeLost, "another node is the home now", 0),
		Home:    h.successor.Name,
	}
}

// removeFromQueue removes a request that waits to be admitted. The next request with
// the same key takes its turn.
func (h *Home) removeFromQueue(now time.Time, r Request) {
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
