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
	h.resume(now, waiter{Request: q.owner.Request, arrived: now, before: h.lastOp, admitted: true})
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

// refusal is the end of a request that got no place, and of those who waited
// behind it, while the witnesses are asked whether this home is still the one.
type refusal struct {
	result  Result
	waiters []waiter
	missing int
}

// Refused tells that a request got no place, and why. Its caller is told so,
// and those who wait behind it, once the witnesses have shown that no other
// home can have run the key; else they wait for the tenure.
func (h *Home) Refused(now time.Time, r Request, res Result) {
	q := h.queued[r.Key]
	if q == nil || q.owner.ID != r.ID {
		panic("once: a request was refused that does not wait for a place")
	}
	if res.Outcome.Kind != outcome.NotRun {
		panic("once: a request that got no place may not have run")
	}
	delete(h.queued, r.Key)
	end := &refusal{result: res, waiters: append([]waiter{q.owner}, q.followers...), missing: len(h.round.witnesses)}
	if !h.active() {
		h.takeBack(end)
		h.Tick(now)
		return
	}
	if end.missing == 0 {
		h.endRefusal(end, res)
		return
	}
	for _, member := range h.round.witnesses {
		h.send(now, member, Enlist{}, op{kind: opRefusal, refusal: end})
	}
}

// confirmRefusal notes a witness's answer on a refusal.
func (h *Home) confirmRefusal(now time.Time, o op, a Ack, answered bool) {
	end := o.refusal
	if len(end.waiters) == 0 {
		return
	}
	if !answered || a.Member != o.member || a.Epoch != h.epoch || a.Installed != h.epoch {
		h.takeBack(end)
		h.distrust(now, a, answered && a.Epoch > h.epoch)
		return
	}
	end.missing--
	if end.missing == 0 {
		h.endRefusal(end, end.result)
	}
}

// endRefusal answers all who wait for it.
func (h *Home) endRefusal(end *refusal, res Result) {
	for _, w := range end.waiters {
		h.delegate.Reply(w.ID, res)
	}
	end.waiters = nil
}

// takeBack has those whose refusal was not confirmed wait for the tenure.
func (h *Home) takeBack(end *refusal) {
	h.pending = append(h.pending, end.waiters...)
	end.waiters = nil
}

// endRefusals takes back all refusals that are not confirmed yet.
func (h *Home) endRefusals() {
	for _, o := range h.ops {
		if o.refusal != nil {
			h.takeBack(o.refusal)
		}
	}
}

// handedOver is the end of a request that another home has to serve.
func (h *Home) handedOver() Result {
	return Result{
		Outcome: outcome.New(outcome.ReasonHomeLost, "another node is the home now", 0),
		Home:    h.successor.Name,
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
