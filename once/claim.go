package once

import (
	"time"

	"filbertmill.example/outcome"
)

// begin claims a key that the home has not seen, if it can do so now. It
// reports false if the request must wait.
func (h *Home) begin(now time.Time, w waiter) bool {
	if now.Before(h.lostUntil) {
		h.refuse(w.ID, outcome.ReasonEarlierUnknown, "a copy of earlier keys was lost; this key may be among them")
		return true
	}
	if h.entries[w.Key] != nil || h.full(now) {
		return false
	}
	h.sequence++
	e := &entry{
		key:     w.Key,
		digest:  w.Digest,
		claim:   Claim{Epoch: h.epoch, Sequence: h.sequence},
		state:   stateClaiming,
		owner:   w,
		missing: len(h.round.witnesses),
	}
	h.entries[e.key] = e
	if e.missing == 0 {
		h.grant(e)
		return true
	}
	m := Intent{Key: e.key, Digest: e.digest, Claim: e.claim}
	for _, member := range h.round.witnesses {
		h.send(now, member, m, op{kind: opIntent, entry: e})
	}
	return true
}

// grant dispatches a request whose claim every witness has recorded.
func (h *Home) grant(e *entry) {
	e.state = stateRunning
	h.dispatch[e.owner.ID] = e
	h.delegate.Dispatch(e.owner.ID)
}

// recorded notes a witness's answer to an Intent.
func (h *Home) recorded(now time.Time, o op, a Ack, answered bool) {
	e := o.entry
	if h.entries[e.key] != e || e.state != stateClaiming {
		return
	}
	late := now.Sub(o.started) >= h.cfg.ClaimTimeout // the process was paused
	if answered && a.Status == StatusAccepted && !late {
		e.missing--
		if e.missing == 0 {
			h.grant(e)
		}
		return
	}
	h.abandon(e)
	h.distrust(now, a, answered)
}

// abandon gives up a claim before its request was dispatched; those who wait
// for it wait on for another.
func (h *Home) abandon(e *entry) {
	h.forget(e)
	h.tell(Release{Key: e.key, Claim: e.claim})
	for _, w := range append([]waiter{e.owner}, e.followers...) {
		w.AbandonedClaim = e.claim
		h.pending = append(h.pending, w)
	}
}

// abandonClaims gives up all open claims.
func (h *Home) abandonClaims() {
	for _, e := range h.entries {
		if e.state == stateClaiming {
			h.abandon(e)
		}
	}
}

// distrust acts on a witness that did not record a claim or misses its
// heartbeats: the home has been replaced, or the witness has to be.
func (h *Home) distrust(now time.Time, a Ack, answered bool) {
	if answered && a.Epoch > h.epoch {
		h.note(a)
		h.resign(now)
		return
	}
	h.doubt = true
	h.renew(now)
}

// retryPending offers the waiting requests again.
func (h *Home) retryPending(now time.Time) {
	list := h.pending
	h.pending = nil
	for _, w := range list {
		if h.known(now, w.Request) {
			continue
		}
		h.offer(now, w)
	}
}

// settle refuses the requests that have waited too long.
func (h *Home) settle(now time.Time) {
	list := h.pending
	h.pending = nil
	for _, w := range list {
		if now.Sub(w.arrived) < h.cfg.ClaimTimeout && !h.handsOver(now) {
			h.pending = append(h.pending, w)
			continue
		}
		if !h.known(now, w.Request) {
			h.giveUp(now, w)
		}
	}
}

// handsOver reports whether another home has to serve those who wait: this one
// is going down, or was replaced a moment ago.
func (h *Home) handsOver(now time.Time) bool {
	return h.in(phaseIdle) && (h.leaving || now.Before(h.yieldUntil))
}

// giveUp refuses a request that got no claim. It is certain that the key was
// not dispatched if, after the request came, the store showed that no other
// home had taken over since this one knew all keys.
func (h *Home) giveUp(now time.Time, w waiter) {
	if h.handsOver(now) {
		r := h.handedOver()
		r.AbandonedClaim = w.AbandonedClaim
		h.delegate.Reply(w.ID, r)
		return
	}
	unseen := h.complete && !w.arrived.Before(h.lostUntil)
	if unseen && h.confirmed > w.before {
		h.refuse(w.ID, outcome.ReasonNoClaim, "")
		return
	}
	h.refuse(w.ID, outcome.ReasonEarlierUnknown, "the key's claims cannot be read at present")
}
