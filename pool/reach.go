package pool

import (
	"time"

	"filbertmill.example/event"
)

const (
	// reachProbeInterval is the least time between two probes of whether a suspected
	// target can be reached.
	reachProbeInterval = time.Second
	// otherZoneWait is how long the home waits for the probe from the other
	// availability zone once its own has failed.
	otherZoneWait = 500 * time.Millisecond
	// connRefusedValidity is how long a refused connection of a request confirms a
	// failed probe.
	connRefusedValidity = 5 * time.Second
)

// probeResult is the latest answer to a probe from one origin.
type probeResult struct {
	at        time.Time
	reachable bool
}

// after reports whether the answer came after the given time.
func (r probeResult) after(t time.Time) bool { return r.at.After(t) }

// reachability is the result of probes of the path to a target.
type reachability struct {
	probedAt    time.Time
	home, other probeResult
	// connRefusedAt is when a request was last refused a connection.
	connRefusedAt time.Time
}

// probeReachability probes t from the home and from another availability zone, to
// distinguish a fault of the link from one of the target.
func (h *home) probeReachability(now time.Time, t *target) {
	if !t.reachability.probedAt.IsZero() && now.Sub(t.reachability.probedAt) < reachProbeInterval {
		return
	}
	t.reachability.probedAt = now
	h.delegate.Probe(t.Name, OriginHome)
	h.delegate.Probe(t.Name, OriginOtherZone)
}

// Observe implements Scheduler.
func (h *home) Observe(now time.Time, o Observation) {
	t := h.targets[o.Target]
	if t == nil {
		return
	}
	if o.Origin == OriginHome {
		t.reachability.home = probeResult{now, o.Reachable}
	} else {
		t.reachability.other = probeResult{now, o.Reachable}
	}
	h.endInitialProbe(now, t, o)
	h.observeLeaving(now, t, o)
	if o.Origin == OriginHome && t.state == StateProbation {
		h.recordProbationProbe(now, t, o.Reachable)
	}
	h.applyReachability(now, t)
	h.dispatch(now)
}

// applyReachability ejects t if probes and a refused connection show that it cannot
// be reached, and records a fault of the link.
func (h *home) applyReachability(now time.Time, t *target) {
	r := &t.reachability
	if r.home.reachable || !r.home.after(r.probedAt) {
		return
	}
	answered := r.other.after(r.probedAt)
	linkFault := answered && r.other.reachable
	switch {
	case t.state == StateEjected:
		if linkFault {
			h.recordLinkFault(now, t)
		}
	case !t.inService() || r.connRefusedAt.IsZero() || now.Sub(r.connRefusedAt) > connRefusedValidity:
	case linkFault:
		h.ejectUnreachable(now, t, RuleLinkFault)
	case answered || now.Sub(r.home.at) >= otherZoneWait:
		h.ejectUnreachable(now, t, RuleConnectionRefused)
	}
}

// ejectUnreachable takes t out of service unless the floor forbids it.
func (h *home) ejectUnreachable(now time.Time, t *target, rule string) {
	f := finding{rule: rule, samples: 1, failures: 1}
	if !h.floorAllows(t) {
		h.suspect(now, t, f, 0)
		h.reportFloorHold(now, t, f, 0)
		return
	}
	h.eject(now, t, rule, evidenceOf(f, 0))
	if rule == RuleLinkFault {
		h.recordLinkFault(now, t)
	}
}

// recordLinkFault keeps a fault of the link from counting as an ejection of t.
func (h *home) recordLinkFault(now time.Time, t *target) {
	if t.ejection.linkFault {
		return
	}
	t.ejection.linkFault = true
	t.ejection.addFlaps(now, h.cfg.FlapHalfLife, -1)
	h.recordEvent(now, t, event.KindTargetState, RuleLinkFault, event.Evidence{
		Detail: "another availability zone reaches the target, the home does not",
	})
}
