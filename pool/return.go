package pool

import (
	"math"
	"time"

	"filbertmill.example/event"
)

const (
	// probeWait is how long the answer to a probe is waited for.
	probeWait = 2 * time.Second
	// probeInterval is the time between probes that stand in for work.
	probeInterval = time.Second
	// deferralLimit is the number of failed probes that put off probation.
	// Probes mislead, so they cannot keep a target away for good.
	deferralLimit = 3
	// doseInterval is the least time between two doses to one target.
	doseInterval = 50 * time.Millisecond
	// doseShare is the share of starts that may be doses.
	doseShare = 0.2
	// probationFactorMax bounds how many times more answers a flapping target
	// has to give.
	probationFactorMax = 8
	// probationScore is the score at which a probation fails; one failure that
	// is unusual on its route is enough.
	probationScore = 3
	// pardonTime is how long a target may take to come back after a request
	// crashed it.
	pardonTime = 30 * time.Second
	// flapForgotten is the memory of ejections that counts as none.
	flapForgotten = 0.5
)

// ejection holds what is remembered of a target's ejections.
type ejection struct {
	until time.Time
	// flaps is the number of ejections, fading with time, as of flapsAt.
	flaps   float64
	flapsAt time.Time
	// asked is when a probe was asked for before probation; deferrals counts
	// the probes that put it off.
	asked     time.Time
	deferrals int
	// linkFault says that the path and not the target was at fault.
	linkFault bool
	// unreachable says that the target was ejected for not being reached.
	unreachable bool
	// pardoned is until when a target that a request crashed may be away
	// without that being remembered.
	pardoned time.Time
}

// memory returns the faded number of ejections.
func (e *ejection) memory(now time.Time, halfLife time.Duration) float64 {
	return e.flaps * math.Exp2(-float64(now.Sub(e.flapsAt))/float64(halfLife))
}

// remember adds n ejections to the memory.
func (e *ejection) remember(now time.Time, halfLife time.Duration, n float64) {
	e.flaps = max(0, e.memory(now, halfLife)+n)
	e.flapsAt = now
}

// probation holds the progress of a target's probation.
type probation struct {
	needed int
	good   int
	// slow and failing are the log likelihood ratios of the answers being slow
	// and of the target failing.
	slow, failing float64
	// dosed is when the last dose started.
	dosed time.Time
	// probed is when the last probe in place of work was asked for.
	probed time.Time
}

// eject takes t out of service for a time that grows with each ejection.
func (h *home) eject(now time.Time, t *target, rule string, ev event.Evidence) {
	flaps := t.ejection.memory(now, h.cfg.FlapHalfLife)
	span := float64(h.cfg.EjectionTime) * math.Exp2(math.Floor(flaps+flapForgotten))
	t.ejection.until = now.Add(time.Duration(min(span, float64(h.cfg.EjectionTimeMax))))
	t.ejection.unreachable = rule == RuleConnectionRefused
	if !t.ejection.unreachable || !now.Before(t.ejection.pardoned) {
		t.ejection.remember(now, h.cfg.FlapHalfLife, 1)
	}
	t.ejection.asked = time.Time{}
	t.ejection.deferrals = 0
	t.ejection.linkFault = false
	t.held = false
	h.fire(now, t, triggerEject, rule, ev)
}

// tickEjected leads t to probation when its ejection is over.
func (h *home) tickEjected(now time.Time, t *target) {
	e := &t.ejection
	if now.Before(e.until) {
		return
	}
	switch {
	case e.asked.IsZero():
		e.asked = now
		h.delegate.Probe(t.Name, OriginHome)
	case t.reach.home.after(e.asked) && t.reach.home.reachable:
		h.try(now, t)
	case t.reach.home.after(e.asked), now.Sub(e.asked) >= probeWait:
		h.deferProbation(now, t)
	}
}

// deferProbation waits for another probe, or tries without.
func (h *home) deferProbation(now time.Time, t *target) {
	e := &t.ejection
	e.deferrals++
	if e.deferrals > deferralLimit {
		h.try(now, t)
		return
	}
	e.asked = time.Time{}
	e.until = now.Add(min(h.cfg.EjectionTime<<e.deferrals, h.cfg.EjectionTimeMax))
}

// try begins a probation.
func (h *home) try(now time.Time, t *target) {
	flaps := t.ejection.memory(now, h.cfg.FlapHalfLife)
	factor := min(max(1, int(flaps+flapForgotten)), probationFactorMax)
	t.samples = nil
	t.probation = probation{needed: h.cfg.ProbationAnswers * factor}
	t.limit.pausedUntil = now
	h.fire(now, t, triggerTry, RuleEjectionOver, event.Evidence{Samples: t.probation.needed})
}

// doseDue says whether t may be given a single request to prove itself or to
// become warm.
func (t *target) doseDue(now time.Time) bool {
	needy := t.state == StateProbation || t.state == StateCold || (t.state == StateSuspected && !t.held)
	return needy && t.inFlight() == 0 &&
		!now.Before(t.limit.pausedUntil) &&
		now.Sub(t.probation.dosed) >= doseInterval
}

// answerProbation takes the end of a dose.
func (h *home) answerProbation(now time.Time, t *target, s sample) {
	p := &t.probation
	if s.category == categoryNone {
		return
	}
	usual := h.usualLately(now, t, s.route)
	p.slow += slowRatio(s.category, usual, 0)
	p.failing += failingRatio(s.category, usual, failedShareMin)
	if max(p.slow, p.failing) >= probationScore {
		h.failProbation(now, t, finding{
			rule: RuleProbationFailed, samples: p.good + 1, failures: 1,
			latency: s.latency, peer: s.route.median, score: max(p.slow, p.failing),
		})
		return
	}
	if s.failed() {
		return
	}
	p.good++
	if p.good >= p.needed && p.slow <= 0 {
		h.restore(now, t, RuleProbationPassed)
	}
}

// failProbation ejects t again; below the floor its probation starts over
// instead.
func (h *home) failProbation(now time.Time, t *target, f finding) {
	if h.floorAllows(t) {
		h.eject(now, t, f.rule, evidenceOf(f, probationScore))
		return
	}
	t.probation = probation{needed: t.probation.needed, dosed: t.probation.dosed}
	h.holdFloor(now, t, f, probationScore)
}

// restore brings t back into service, one slot first.
func (h *home) restore(now time.Time, t *target, rule string) {
	t.samples = nil
	t.ramp(now)
	h.fire(now, t, triggerRestore, rule, event.Evidence{
		Samples: t.probation.good, Score: t.probation.slow, Threshold: probationScore,
	})
}

// tickProbation lets probes decide where no idempotent work comes.
func (h *home) tickProbation(now time.Time, t *target) {
	p := &t.probation
	idle := p.dosed
	if t.since.After(idle) {
		idle = t.since
	}
	if t.inFlight() > 0 || now.Sub(idle) < h.cfg.ProbationPatience {
		return
	}
	if now.Sub(p.probed) >= probeInterval {
		p.probed = now
		h.delegate.Probe(t.Name, OriginHome)
	}
}

// probeProbation takes a probe in place of a dose.
func (h *home) probeProbation(now time.Time, t *target, reachable bool) {
	p := &t.probation
	if p.probed.IsZero() {
		return
	}
	if !reachable {
		h.failProbation(now, t, finding{rule: RuleProbationFailed, samples: p.good + 1, failures: 1})
		return
	}
	p.good++
	if p.good >= 2*p.needed {
		h.restore(now, t, RuleProbesOnly)
	}
}

// Absolve implements Scheduler.
func (h *home) Absolve(now time.Time, name string, since time.Time) {
	t := h.targets[name]
	if t == nil {
		return
	}
	kept := t.samples[:0:0]
	dropped := 0
	for _, s := range t.samples {
		if s.failed() && !s.at.Before(since) {
			dropped++
			continue
		}
		kept = append(kept, s)
	}
	if dropped == 0 {
		return
	}
	t.samples = kept
	h.acquit(now, t, since, dropped)
	h.dispatch(now)
}

// acquit undoes the decision that the dropped failures brought about, unless
// enough else speaks against t. A target that cannot be reached still has to
// pass its probation.
func (h *home) acquit(now time.Time, t *target, since time.Time, dropped int) {
	t.ejection.pardoned = now.Add(pardonTime)
	out := t.state == StateSuspected || t.state == StateEjected
	if !out || t.since.Before(since) || h.examine(now, t).score >= h.cfg.SuspicionScore {
		return
	}
	if t.state == StateEjected {
		t.ejection.remember(now, h.cfg.FlapHalfLife, -1)
	}
	if t.state == StateEjected && t.ejection.unreachable {
		t.ejection.until = now
		return
	}
	t.held = false
	h.fire(now, t, triggerAbsolve, RuleAbsolved, event.Evidence{Samples: dropped, Failures: dropped})
}
