package once

import (
	"time"

	"filbertmill.example/outcome"
)

// startClaim starts to claim a key that the home does not know, or refuses the
// request if the key may have been dispatched. It reports false if the request must
// wait.
func (h *Home) startClaim(now time.Time, w waiter) bool {
	if now.Before(h.lostUntil) {
		h.refuse(w.ID, outcome.ReasonEarlierUnknown, "a copy of earlier keys was lost; this key may be among them")
		return true
	}
	if h.entries[w.Key] != nil || h.full(now) {
		return false
	}
	h.sequence++
	e := &entry{
		key:         w.Key,
		digest:      w.Digest,
		claim:       Claim{Epoch: h.epoch, Sequence: h.sequence},
		state:       stateClaiming,
		owner:       w,
		pendingAcks: len(h.current.witnesses),
	}
	h.entries[e.key] = e
	if e.pendingAcks == 0 {
		h.dispatchEntry(e)
		return true
	}
	m := Intent{Key: e.key, Digest: e.digest, Claim: e.claim}
	for _, member := range h.current.witnesses {
		h.send(now, member, m, op{kind: opIntent, entry: e})
	}
	return true
}

// dispatchEntry dispatches a request whose claim every witness has recorded.
func (h *Home) dispatchEntry(e *entry) {
	e.state = stateRunning
	h.dispatched[e.owner.ID] = e
	h.delegate.Dispatch(e.owner.ID)
}

// handleIntentAck handles a witness's answer to an Intent. The request is
// dispatched once all witnesses have recorded the claim.
func (h *Home) handleIntentAck(now time.Time, o op, a Ack, answered bool) {
	e := o.entry
	if h.entries[e.key] != e || e.state != stateClaiming {
		return
	}
	late := now.Sub(o.started) >= h.cfg.ClaimTimeout // the process was suspended
	if answered && a.Status == StatusAccepted && !late {
		e.pendingAcks--
		if e.pendingAcks == 0 {
			h.dispatchEntry(e)
		}
		return
	}
	h.abandon(e)
	h.handleWitnessFailure(now, a, answered)
}

// abandon abandons a claim whose request was not dispatched. Its owner and
// followers become pending again and wait for another claim.
func (h *Home) abandon(e *entry) {
	h.remove(e)
	h.notifyWitnesses(Release{Key: e.key, Claim: e.claim})
	for _, w := range append([]waiter{e.owner}, e.followers...) {
		w.AbandonedClaim = e.claim
		h.pending = append(h.pending, w)
	}
}

// abandonClaims abandons all claims that witnesses have not yet recorded.
func (h *Home) abandonClaims() {
	for _, e := range h.entries {
		if e.state == stateClaiming {
			h.abandon(e)
		}
	}
}

// handleWitnessFailure handles a witness that did not record a claim or did not
// confirm a refusal. The home resigns if its answer has a higher epoch: the home
// has been replaced. Otherwise the witness has to be replaced.
func (h *Home) handleWitnessFailure(now time.Time, a Ack, answered bool) {
	if answered && a.Epoch > h.epoch {
		h.observe(a)
		h.resign(now)
		return
	}
	h.needsRenewal = true
	h.renew(now)
}

// retryPending processes the pending requests again.
func (h *Home) retryPending(now time.Time) {
	list := h.pending
	h.pending = nil
	for _, w := range list {
		if h.replyIfKnown(now, w.Request) {
			continue
		}
		h.process(now, w)
	}
}

// refuseOverdue refuses the pending requests that have waited for ClaimTimeout, and
// all of them if another home has to serve them.
func (h *Home) refuseOverdue(now time.Time) {
	list := h.pending
	h.pending = nil
	for _, w := range list {
		if now.Sub(w.arrived) < h.cfg.ClaimTimeout && !h.mustHandOver(now) {
			h.pending = append(h.pending, w)
			continue
		}
		if !h.replyIfKnown(now, w.Request) {
			h.refuseUnclaimed(now, w)
		}
	}
}

// mustHandOver reports whether another home has to serve the pending requests,
// because this one is shutting down or was replaced within the last RetakeDelay.
func (h *Home) mustHandOver(now time.Time) bool {
	return h.in(phaseIdle) && (h.leaving || now.Before(h.yieldUntil))
}

// refuseUnclaimed refuses a request that got no claim. The key was certainly not
// dispatched if the store showed, after the request arrived, that no other home had
// taken over since this home knew all keys.
func (h *Home) refuseUnclaimed(now time.Time, w waiter) {
	if h.mustHandOver(now) {
		r := h.handedOverResult()
		r.AbandonedClaim = w.AbandonedClaim
		h.delegate.Reply(w.ID, r)
		return
	}
	allKeysKnown := h.complete && !w.arrived.Before(h.lostUntil)
	if allKeysKnown && h.confirmedOp > w.lastOpBefore {
		h.refuse(w.ID, outcome.ReasonNoClaim, "")
		return
	}
	h.refuse(w.ID, outcome.ReasonEarlierUnknown, "the key's claims cannot be read at present")
}
