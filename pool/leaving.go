package pool

import (
	"time"

	"filbertmill.example/event"
)

// rejoinInterval is the time between probes of a target that announced that
// it is leaving and is still listed.
const rejoinProbeInterval = 5 * time.Second

// leave gives t no more work and lets what it holds finish.
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

// finishLeaving marks t as gone once it holds no work.
func (h *home) finishLeaving(now time.Time, t *target) {
	if t.state == StateDraining && t.inFlight() == 0 {
		h.fire(now, t, triggerFinished, RuleFinished, event.Evidence{})
	}
}

// observeLeaving takes what a probe says of t's leaving.
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

// rejoin takes a target that had left or was leaving as new, if it is listed.
func (h *home) rejoin(now time.Time, t *target, rule string) {
	left := t.state == StateDraining || t.state == StateGone
	if !left || !t.listed || t.Leaving || !t.announcedLeaving.IsZero() {
		return
	}
	t.samples = nil
	t.reachability = reachability{}
	t.startRamp(now)
	h.fire(now, t, triggerRejoin, rule, event.Evidence{})
}

// tickLeaving asks a target that announced its leaving whether it is back, and
// forgets one that is gone.
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
