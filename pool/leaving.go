package pool

import (
	"time"

	"filbertmill.example/event"
)

// rejoinProbeInterval is the time between probes of a target that announced that
// it is leaving and is still listed.
const rejoinProbeInterval = 5 * time.Second

// leave gives t no more attempts and lets those in flight finish.
func (h *home) leave(now time.Time, t *target, rule string) {
	if rule == RuleOwnSignal {
		t.announcedLeaving = now
	}
	if t.state == StateDraining || t.state == StateGone {
		return
	}
	t.heldByFloor = false
	h.fire(now, t, triggerLeave, rule, event.Evidence{})
	h.finishLeaving(now, t)
}

// finishLeaving marks t as gone once it has no attempts in flight.
func (h *home) finishLeaving(now time.Time, t *target) {
	if t.state == StateDraining && t.inFlight() == 0 {
		h.fire(now, t, triggerFinished, RuleFinished, event.Evidence{})
	}
}

// observeLeaving handles what a probe reports about t's leaving.
func (h *home) observeLeaving(now time.Time, t *target, o Observation) {
	if o.Leaving {
		h.leave(now, t, RuleOwnSignal)
		return
	}
	if !o.Reachable || t.announcedLeaving.IsZero() || now.Sub(t.announcedLeaving) < h.cfg.LeavingHold {
		return
	}
	t.announcedLeaving = time.Time{}
	h.rejoin(now, t, RuleOwnSignal)
}

// rejoin treats a target that was leaving or had left as a new one, if it is listed.
func (h *home) rejoin(now time.Time, t *target, rule string) {
	leavingOrGone := t.state == StateDraining || t.state == StateGone
	if !leavingOrGone || !t.listed || t.Leaving || !t.announcedLeaving.IsZero() {
		return
	}
	t.samples = nil
	t.reachability = reachability{}
	t.startRamp(now)
	h.fire(now, t, triggerRejoin, rule, event.Evidence{})
}

// tickLeaving probes a target that announced its leaving and is still listed, to
// find out whether it is back. It removes a target that is gone once its past
// ejections no longer count.
func (h *home) tickLeaving(now time.Time, t *target) {
	if t.listed && !t.Leaving && !t.announcedLeaving.IsZero() {
		due := now.Sub(t.announcedLeaving) >= h.cfg.LeavingHold && now.Sub(t.reachability.probedAt) >= rejoinProbeInterval
		if due {
			t.reachability.probedAt = now
			h.delegate.Probe(t.Name, OriginHome)
		}
		return
	}
	forgotten := t.ejection.decayedFlaps(now, h.cfg.FlapHalfLife) < negligibleFlaps
	if t.state == StateGone && !t.listed && forgotten {
		delete(h.targets, t.Name)
		h.forgetTarget(t)
		h.sortTargets()
	}
}
