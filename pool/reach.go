package pool

import (
	"time"

	"filbertmill.example/event"
)

const (
	// reachInterval is the least time between two questions whether a
	// suspected target can be reached.
	reachInterval = time.Second
	// reachWait is how long the view of the other availability zone is waited
	// for once the home's own probe has failed.
	reachWait = 500 * time.Millisecond
	// workRefused is how long a refused connection of real work backs up a
	// failed probe.
	workRefused = 5 * time.Second
)

// view is the latest answer to a probe from one origin.
type view struct {
	at        time.Time
	reachable bool
}

// after says whether the answer came after the given time.
func (v view) after(t time.Time) bool { return v.at.After(t) }

// reach is what probes say of the way to a target.
type reach struct {
	asked       time.Time
	home, other view
	// refused is when real work last met a refused connection.
	refused time.Time
}

// askReach has t probed from the home and from another availability zone, to
// tell a fault of the link from one of the target.
func (h *home) askReach(now time.Time, t *target) {
	if !t.reach.asked.IsZero() && now.Sub(t.reach.asked) < reachInterval {
		return
	}
	t.reach.asked = now
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
		t.reach.home = view{now, o.Reachable}
	} else {
		t.reach.other = view{now, o.Reachable}
	}
	h.endFirstLook(now, t, o)
	h.observeLeaving(now, t, o)
	if o.Origin == OriginHome && t.state == StateProbation {
		h.probeProbation(now, t, o.Reachable)
	}
	h.decideReach(now, t)
	h.dispatch(now)
}

// decideReach acts on probes that say that t cannot be reached.
func (h *home) decideReach(now time.Time, t *target) {
	r := &t.reach
	if r.home.reachable || !r.home.after(r.asked) {
		return
	}
	answered := r.other.after(r.asked)
	linkFault := answered && r.other.reachable
	switch {
	case t.state == StateEjected:
		if linkFault {
			h.blameLink(now, t)
		}
	case !t.judged() || r.refused.IsZero() || now.Sub(r.refused) > workRefused:
	case linkFault:
		h.ejectUnreachable(now, t, RuleLinkFault)
	case answered || now.Sub(r.home.at) >= reachWait:
		h.ejectUnreachable(now, t, RuleConnectionRefused)
	}
}

// ejectUnreachable takes t out of service unless the floor forbids it.
func (h *home) ejectUnreachable(now time.Time, t *target, rule string) {
	f := finding{rule: rule, samples: 1, failures: 1}
	if !h.floorAllows(t) {
		h.suspect(now, t, f, 0)
		h.holdFloor(now, t, f, 0)
		return
	}
	h.eject(now, t, rule, evidenceOf(f, 0))
	if rule == RuleLinkFault {
		h.blameLink(now, t)
	}
}

// blameLink keeps a fault of the link from counting as an ejection of t.
func (h *home) blameLink(now time.Time, t *target) {
	if t.ejection.linkFault {
		return
	}
	t.ejection.linkFault = true
	t.ejection.remember(now, h.cfg.FlapHalfLife, -1)
	h.note(now, t, event.KindTargetState, RuleLinkFault, event.Evidence{
		Detail: "another availability zone reaches the target, the home does not",
	})
}
