package once

import "time"

// Tick performs the actions that are due; the owner calls it no later than Next.
func (h *Home) Tick(now time.Time) {
	if !now.Before(h.sweepAt) {
		h.sweep(now)
	}
	if len(h.pending) > 0 {
		h.advancePending(now)
	}
	if h.active() && !now.Before(h.heartbeatAt) {
		h.heartbeat(now)
	}
	h.refuseOverdue(now)
}

// advancePending takes the next step towards a claim for the pending requests.
func (h *Home) advancePending(now time.Time) {
	switch {
	case h.mustHandOver(now):
	case h.in(phaseIdle):
		h.startTakeover(now)
	case h.in(phaseSealing) && h.openOps(opSeal) == 0 && !now.Before(h.retryAt):
		h.retryAt = now.Add(h.cfg.RetryInterval)
		h.seal(now)
	case h.active() && !now.Before(h.retryAt):
		h.recheck(now)
	}
}

// recheck processes the pending requests again, and asks the store whether this home
// still holds the tenure, so that they can be refused as not run.
func (h *Home) recheck(now time.Time) {
	if h.needsRenewal {
		h.renew(now)
	} else if h.openOps(opVerify) == 0 {
		h.retryAt = now.Add(h.cfg.RetryInterval)
		h.read(now, opVerify)
	}
	h.retryPending(now)
}

// Next returns when Tick is due next; the zero time means never.
func (h *Home) Next() time.Time {
	next := h.sweepAt
	if len(h.pending) > 0 {
		next = earlier(next, later(h.retryAt, h.pending[0].arrived))
		for _, w := range h.pending {
			next = earlier(next, w.arrived.Add(h.cfg.ClaimTimeout))
		}
	}
	if h.active() {
		next = earlier(next, h.heartbeatAt)
	}
	return next
}

// heartbeat checks whether the witnesses still hold the copy.
func (h *Home) heartbeat(now time.Time) {
	h.heartbeatAt = now.Add(h.cfg.HeartbeatInterval)
	for _, member := range h.current.witnesses {
		h.send(now, member, Enlist{}, op{kind: opHeartbeat})
	}
	h.addWitnesses(now)
}

// addWitnesses looks for more witnesses if there are fewer than wanted.
func (h *Home) addWitnesses(now time.Time) {
	wanted := min(h.cfg.Witnesses, len(h.candidates))
	if len(h.current.witnesses) >= wanted || now.Before(h.addWitnessAt) {
		return
	}
	h.addWitnessAt = now.Add(h.cfg.WitnessSearchInterval)
	h.needsRenewal = true
	h.renew(now)
}

// handleHeartbeatAck handles a witness's answer to a heartbeat, or the lack of one.
func (h *Home) handleHeartbeatAck(now time.Time, o op, a Ack, answered bool) {
	if !h.active() {
		return
	}
	if !answered {
		h.missedHeartbeats[o.member]++
		if h.missedHeartbeats[o.member] >= h.cfg.MissedHeartbeats {
			h.needsRenewal = true
			h.renew(now)
		}
		return
	}
	h.missedHeartbeats[o.member] = 0
	switch {
	case a.Epoch > h.epoch:
		h.observe(a)
		h.resign(now)
	case a.Member != o.member || a.Installed != h.epoch || a.Leaving:
		h.needsRenewal = true
		h.renew(now)
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
