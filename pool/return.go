package pool

import (
	"math"
	"time"

	"filbertmill.example/event"
)

const (
	// probeWait is the timeout of a probe.
	probeWait = 2 * time.Second
	// probeInterval is the time between probes that take the place of requests.
	probeInterval = time.Second
	// maxDeferrals is the number of failed probes that defer probation. Probes can be
	// wrong, so they cannot keep a target out permanently.
	maxDeferrals = 3
	// trialInterval is the least time between two trial requests to one target.
	trialInterval = 50 * time.Millisecond
	// trialShare is the share of starts that may be trial requests.
	trialShare = 0.2
	// probationFactorMax bounds the factor by which a flapping target has to give
	// more good answers.
	probationFactorMax = 8
	// probationScore is the score at which a probation fails. One failure that is
	// unusual on its route is enough.
	probationScore = 3
	// crashRestartTime is how long a target may take to come back after a request
	// crashed it.
	crashRestartTime = 30 * time.Second
	// negligibleFlaps is the decayed number of ejections that counts as none.
	negligibleFlaps = 0.5
)

// ejection holds the current ejection of a target and the count of past ones.
type ejection struct {
	until time.Time
	// flaps is the decaying number of ejections, as of flapsAt.
	flaps   float64
	flapsAt time.Time
	// probedAt is when the probe before probation was requested. deferrals counts the
	// failed probes that deferred it.
	probedAt  time.Time
	deferrals int
	// linkFault is set if the path and not the target was at fault.
	linkFault bool
	// unreachable is set if the target was ejected because it could not be reached.
	unreachable bool
	// crashExcusedUntil is until when a target that a request crashed may be unreachable
	// without that counting as an ejection.
	crashExcusedUntil time.Time
}

// decayedFlaps returns the decayed number of ejections.
func (e *ejection) decayedFlaps(now time.Time, halfLife time.Duration) float64 {
	return e.flaps * math.Exp2(-float64(now.Sub(e.flapsAt))/float64(halfLife))
}

// addFlaps adds n to the number of ejections.
func (e *ejection) addFlaps(now time.Time, halfLife time.Duration, n float64) {
	e.flaps = max(0, e.decayedFlaps(now, halfLife)+n)
	e.flapsAt = now
}

// probation is the progress of a target's probation, in which it gets single trial
// requests.
type probation struct {
	needed      int
	goodAnswers int
	// slowScore and failingScore are the log likelihood ratios of the answers being slow
	// and of the target failing.
	slowScore, failingScore float64
	// lastTrial is when the last trial request started.
	lastTrial time.Time
	// lastProbe is when the last probe in place of a request was requested.
	lastProbe time.Time
}

// eject takes t out of service for a time that grows with the number of ejections.
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

// tickEjected starts t's probation once its ejection is over and a probe was answered.
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

// deferProbation waits for another probe, or starts probation without one after
// maxDeferrals.
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

// startProbation starts a probation.
func (h *home) startProbation(now time.Time, t *target) {
	flaps := t.ejection.decayedFlaps(now, h.cfg.FlapHalfLife)
	factor := min(max(1, int(flaps+negligibleFlaps)), probationFactorMax)
	t.samples = nil
	t.probation = probation{needed: h.cfg.ProbationAnswers * factor}
	t.limit.pausedUntil = now
	h.fire(now, t, triggerStartProbation, RuleEjectionOver, event.Evidence{Samples: t.probation.needed})
}

// trialDue reports whether t may be given a single trial request, to pass its
// probation, to become warm or to be cleared.
func (t *target) trialDue(now time.Time) bool {
	eligible := t.state == StateProbation || t.state == StateCold || (t.state == StateSuspected && !t.heldByFloor)
	return eligible && t.inFlight() == 0 &&
		!now.Before(t.limit.pausedUntil) &&
		now.Sub(t.probation.lastTrial) >= trialInterval
}

// recordProbationAnswer records the end of a trial request.
func (h *home) recordProbationAnswer(now time.Time, t *target, s sample) {
	p := &t.probation
	if s.category == categoryNone {
		return
	}
	baseline := h.recentBaseline(now, t, s.route)
	p.slowScore += slowLogRatio(s.category, baseline, 0)
	p.failingScore += failingLogRatio(s.category, baseline, failedShareMin)
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

// failProbation ejects t again. If the floor forbids that, the probation starts
// again instead.
func (h *home) failProbation(now time.Time, t *target, f finding) {
	if h.floorAllows(t) {
		h.eject(now, t, f.rule, evidenceOf(f, probationScore))
		return
	}
	t.probation = probation{needed: t.probation.needed, lastTrial: t.probation.lastTrial}
	h.reportFloorHold(now, t, f, probationScore)
}

// restore returns t to service, with one slot at first.
func (h *home) restore(now time.Time, t *target, rule string) {
	t.samples = nil
	t.startRamp(now)
	h.fire(now, t, triggerRestore, rule, event.Evidence{
		Samples: t.probation.goodAnswers, Score: t.probation.slowScore, Threshold: probationScore,
	})
}

// tickProbation requests probes if no idempotent requests arrive.
func (h *home) tickProbation(now time.Time, t *target) {
	p := &t.probation
	idleSince := p.lastTrial
	if t.stateSince.After(idleSince) {
		idleSince = t.stateSince
	}
	if t.inFlight() > 0 || now.Sub(idleSince) < h.cfg.ProbationPatience {
		return
	}
	if now.Sub(p.lastProbe) >= probeInterval {
		p.lastProbe = now
		h.delegate.Probe(t.Name, OriginHome)
	}
}

// recordProbationProbe records the answer to a probe in place of a trial request.
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

// revertDecision reverts the decision that was based on the dropped failures,
// unless other evidence is sufficient for it. A target that cannot be reached still
// has to pass its probation.
func (h *home) revertDecision(now time.Time, t *target, since time.Time, dropped int) {
	t.ejection.crashExcusedUntil = now.Add(crashRestartTime)
	outOfService := t.state == StateSuspected || t.state == StateEjected
	if !outOfService || t.stateSince.Before(since) || h.compareWithPeers(now, t).score >= h.cfg.SuspicionScore {
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
