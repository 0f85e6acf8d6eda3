package once

import "time"

// Tick does what is due; the owner calls it no later than Next.
func (h *Home) Tick(now time.Time) {
	if !now.Before(h.sweepAt) {
		h.sweep(now)
	}
	if len(h.pending) > 0 {
		h.push(now)
	}
	if h.active() && !now.Before(h.heartbeatAt) {
		h.heartbeat(now)
	}
	h.settle(now)
}

// push takes the next step for the requests that wait.
func (h *Home) push(now time.Time) {
	switch {
	case h.handsOver(now):
	case h.in(phaseIdle):
		h.want(now)
	case h.in(phaseSealing) && h.waiting(opSeal) == 0 && !now.Before(h.retryAt):
		h.retryAt = now.Add(h.cfg.RetryInterval)
		h.seal(now)
	case h.active() && !now.Before(h.retryAt):
		h.recheck(now)
	}
}

// recheck offers the waiting requests again, and asks the store whether this
// home still holds the tenure, so that they can be refused as not run.
func (h *Home) recheck(now time.Time) {
	if h.doubt {
		h.renew(now)
	} else if h.waiting(opVerify) == 0 {
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

// heartbeat checks that the witnesses still hold the copy.
func (h *Home) heartbeat(now time.Time) {
	h.heartbeatAt = now.Add(h.cfg.HeartbeatInterval)
	for _, member := range h.round.witnesses {
		h.send(now, member, Enlist{}, op{kind: opHeartbeat})
	}
	h.improve(now)
}

// improve looks for more witnesses if there are fewer than wanted.
func (h *Home) improve(now time.Time) {
	wanted := min(h.cfg.Witnesses, len(h.candidates))
	if len(h.round.witnesses) >= wanted || now.Before(h.improveAt) {
		return
	}
	h.improveAt = now.Add(h.cfg.ImproveInterval)
	h.doubt = true
	h.renew(now)
}

// heard notes a witness's answer to a heartbeat.
func (h *Home) heard(now time.Time, o op, a Ack, answered bool) {
	if !h.active() {
		return
	}
	if !answered {
		h.missed[o.member]++
		if h.missed[o.member] >= h.cfg.MissedHeartbeats {
			h.doubt = true
			h.renew(now)
		}
		return
	}
	h.missed[o.member] = 0
	switch {
	case a.Epoch > h.epoch:
		h.note(a)
		h.resign(now)
	case a.Member != o.member || a.Installed != h.epoch || a.Leaving:
		h.doubt = true
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
