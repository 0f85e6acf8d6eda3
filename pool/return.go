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
	maxDeferrals = 3
	// doseInterval is the least time between two doses to one target.
	trialInterval = 50 * time.Millisecond
	// doseShare is the share of starts that may be doses.
	trialShare = 0.2
	// probationFactorMax bounds how many times more answers a flapping target
	// has to give.
	probationFactorMax = 8
	// probationScore is the score at which a probation fails; one failure that
	// is unusual on its route is enough.
	probationScore = 3
	// pardonTime is how long a target may take to come back after a request
	// crashed it.
	crashRestartTime = 30 * time.Second
	// flapForgotten is the memory of ejections that counts as none.
	negligibleFlaps = 0.5
)

// ejection holds what is remembered of a target's ejections.
type ejection struct {
	until time.Time
	// flaps is the number of ejections, fading with time, as of flapsAt.
	flaps   float64
	flapsAt time.Time
	// asked is when a probe was asked for before probation; deferrals counts
	// the probes that put it off.
	probedAt  time.Time
	deferrals int
	// linkFault says that the path and not the target was at fault.
	linkFault bool
	// unreachable says that the target was ejected for not being reached.
	unreachable bool
	// pardoned is until when a target that a request crashed may be away
	// without that being remembered.
	crashExcusedUntil time.Time
}

// memory returns the faded number of ejections.
func (e *ejection) decayedFlaps(now time.Time, halfLife time.Duration) float64 {
	return e.flaps * math.Exp2(-float64(now.Sub(e.flapsAt))/float64(halfLife))
}

// remember adds n ejections to the memory.
func (e *ejection) addFlaps(now time.Time, halfLife time.Duration, n float64) {
	e.flaps = max(0, e.decayedFlaps(now, halfLife)+n)
	e.flapsAt = now
}

// probation holds the progress of a target's probation.
type probation struct {
	needed      int
	goodAnswers int
	// slow and failing are the log likelihood ratios of the answers being slow
	// and of the target failing.
	slowScore, failingScore float64
	// dosed is when the last dose started.
	lastTrial time.Time
	// probed is when the last probe in place of work was asked for.
	lastProbe time.Time
}

// eject takes t out of service for a time that grows with each ejection.
func (h *home) eject(now time.Time, t *target, rule string, ev event.Evidence) {
	flaps := t.ejection.decayedFlaps(now, h.cfg.FlapHalfLife)
	span := float64(h.cfg.EjectionTime) * math.Exp2(math.Floor(flaps+negligibleFlaps))
	t.ejection.until = now.Add(time.Duration(min(span, float64(h.cfg.EjectionTimeMax))))
	t.ejection.unreachable = rule == RuleConnectionRefused
	if !t.ejection.unreachable || !now.Before(t.ejection.crashExcusedUntil) {
		t.ejection.addFlaps(now, h.cfg.FlapHalfLife, 1)
	}
	t.ejection.probedAt = time.Time{}
	t.ejection.deferrals = 0
	t.ejection.linkFault = false
	t.heldByFloor = false
	h.fire(now, t, triggerEject, rule, ev)
}

// tickEjected leads t to probation when its ejection is over.
func (h *home) tickEjected(now time.Time, t *target) {
	e := &t.ejection
	if now.Before(e.until) {
		return
	}
	switch {
	case e.probedAt.IsZero():
		e.probedAt = now
		h.delegate.Probe(t.Name, OriginHome)
	case t.reachability.home.after(e.probedAt) && t.reachability.home.reachable:
		h.startProbation(now, t)
	case t.reachability.home.after(e.probedAt), now.Sub(e.probedAt) >= probeWait:
		h.deferProbation(now, t)
	}
}

// deferProbation waits for another probe, or tries without.
func (h *home) deferProbation(now time.Time, t *target) {
	e := &t.ejection
	e.deferrals++
	if e.deferrals > maxDeferrals {
		h.startProbation(now, t)
		return
	}
	e.probedAt = time.Time{}
	e.until = now.Add(min(h.cfg.EjectionTime<<e.deferrals, h.cfg.EjectionTimeMax))
}

// try begins a probation.
func (h *home) startProbation(now time.Time, t *target) {
	flaps := t.ejection.decayedFlaps(now, h.cfg.FlapHalfLife)
	factor := min(max(1, int(flaps+negligibleFlaps)), probationFactorMax)
	t.samples = nil
	t.probation = probation{needed: h.cfg.ProbationAnswers * factor}
	t.limit.pausedUntil = now
	h.fire(now, t, triggerStartProbation, RuleEjectionOver, event.Evidence{Samples: t.probation.needed})
}

// doseDue says whether t may be given a single request to prove itself or to
// become warm.
func (t *target) trialDue(now time.Time) bool {
	needy := t.state == StateProbation || t.state == StateCold || (t.state == StateSuspected && !t.heldByFloor)
	return needy && t.inFlight() == 0 &&
		!now.Before(t.limit.pausedUntil) &&
		now.Sub(t.probation.lastTrial) >= trialInterval
}

// answerProbation takes the end of a dose.
func (h *home) recordProbationAnswer(now time.Time, t *target, s sample) {
	p := &t.probation
	if s.category == categoryNone {
		return
	}
	usual := h.recentBaseline(now, t, s.route)
	p.slowScore += slowLogRatio(s.category, usual, 0)
	p.failingScore += failingLogRatio(s.category, usual, failedShareMin)
	if max(p.slowScore, p.failingScore) >= probationScore {
		h.failProbation(now, t, finding{
			rule: RuleProbationFailed, samples: p.goodAnswers + 1, failures: 1,
			latency: s.latency, peerLatency: s.route.median, score: max(p.slowScore, p.failingScore),
		})
		return
	}
	if s.failed() {
		return
	}
	p.goodAnswers++
	if p.goodAnswers >= p.needed && p.slowScore <= 0 {
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
	t.probation = probation{needed: t.probation.needed, lastTrial: t.probation.lastTrial}
	h.reportFloorHold(now, t, f, probationScore)
}

// restore brings t back into service, one slot first.
func (h *home) restore(now time.Time, t *target, rule string) {
	t.samples = nil
	t.startRamp(now)
	h.fire(now, t, triggerRestore, rule, event.Evidence{
		Samples: t.probation.goodAnswers, Score: t.probation.slowScore, Threshold: probationScore,
	})
}

// tickProbation lets probes decide where no idempotent work comes.
func (h *home) tickProbation(now time.Time, t *target) {
	p := &t.probation
	idle := p.lastTrial
	if t.stateSince.After(idle) {
		idle = t.stateSince
	}
	if t.inFlight() > 0 || now.Sub(idle) < h.cfg.ProbationPatience {
		return
	}
	if now.Sub(p.lastProbe) >= probeInterval {
		p.lastProbe = now
		h.delegate.Probe(t.Name, OriginHome)
	}
}

// probeProbation takes a probe in place of a dose.
func (h *home) recordProbationProbe(now time.Time, t *target, reachable bool) {
	p := &t.probation
	if p.lastProbe.IsZero() {
		return
	}
	if !reachable {
		h.failProbation(now, t, finding{rule: RuleProbationFailed, samples: p.goodAnswers + 1, failures: 1})
		return
	}
	p.goodAnswers++
	if p.goodAnswers >= 2*p.needed {
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
	h.revertDecision(now, t, since, dropped)
	h.dispatch(now)
}

// acquit undoes the decision that the dropped failures brought about, unless
// enough else speaks against t. A target that cannot be reached still has to
// pass its probation.
func (h *home) revertDecision(now time.Time, t *target, since time.Time, dropped int) {
	t.ejection.crashExcusedUntil = now.Add(crashRestartTime)
	out := t.state == StateSuspected || t.state == StateEjected
	if !out || t.stateSince.Before(since) || h.compareWithPeers(now, t).score >= h.cfg.SuspicionScore {
		return
	}
	if t.state == StateEjected {
		t.ejection.addFlaps(now, h.cfg.FlapHalfLife, -1)
	}
	if t.state == StateEjected && t.ejection.unreachable {
		t.ejection.until = now
		return
	}
	t.heldByFloor = false
	h.fire(now, t, triggerAbsolve, RuleAbsolved, event.Evidence{Samples: dropped, Failures: dropped})
}
