package pool

import (
	"cmp"
	"slices"
	"time"

	"filbertmill.example/event"
)

const (
	// clearScore is the score below which a suspected target is cleared.
	clearScore = 2
	// suspicionTime is the time without new evidence after which a suspicion ends.
	suspicionTime = 10 * time.Second
)

// targetFinding is a target with the finding about it.
type targetFinding struct {
	target  *target
	finding finding
}

// addEvidence records a sample about t.
func (h *home) addEvidence(now time.Time, t *target, s sample) {
	if s.category == categoryNone {
		return
	}
	t.addSample(s)
	if !s.unfinished && (t.healthy() || t.state == StateCold) {
		tally := s.route.tallyOf(t)
		tally.add(now, s.category)
		if s.category == categoryExtreme && s.latency >= s.route.hungAge() {
			tally.counts[categoryHung]++
		}
	}
	if s.adverse() || t.state == StateSuspected {
		t.dirty = true
	}
}

func (r *route) tallyOf(t *target) *tally {
	if r.tallies[t] == nil {
		r.tallies[t] = &tally{}
	}
	return r.tallies[t]
}

// evaluateTargets decides about the targets with new evidence, those with the
// highest scores first.
func (h *home) evaluateTargets(now time.Time) {
	var found []targetFinding
	for _, t := range h.order {
		if !t.dirty {
			continue
		}
		t.dirty = false
		if t.inService() {
			found = append(found, targetFinding{t, h.compareWithPeers(now, t)})
		}
	}
	slices.SortStableFunc(found, func(a, b targetFinding) int {
		return cmp.Compare(b.finding.score, a.finding.score)
	})
	for _, v := range found {
		h.applyFinding(now, v.target, v.finding)
	}
}

// inService reports whether t takes normal requests, so that their outcomes decide
// about its state.
func (t *target) inService() bool {
	return t.state == StateServing || t.state == StateCold || t.state == StateSuspected
}

// applyFinding changes t's state as the finding requires.
func (h *home) applyFinding(now time.Time, t *target, f finding) {
	caution := t.thresholdIncrease(now)
	suspicion := h.cfg.SuspicionScore + caution
	ejection := h.cfg.EjectionScore + caution
	switch {
	case f.score >= ejection && !f.tooFewFailures:
		h.ejectOrHold(now, t, f, ejection)
	case f.score >= suspicion:
		h.suspect(now, t, f, suspicion)
	case t.state == StateSuspected && f.score < clearScore:
		h.clearSuspicion(now, t, f)
	case f.ownScore >= ejection && f.peersSimilar:
		h.reportCommonCause(now, t, f, ejection)
	}
}

// ejectOrHold ejects t. If the floor forbids that, t becomes suspected instead.
func (h *home) ejectOrHold(now time.Time, t *target, f finding, threshold float64) {
	h.probeReachability(now, t)
	if !h.floorAllows(t) {
		h.suspect(now, t, f, threshold)
		h.reportFloorHold(now, t, f, threshold)
		return
	}
	h.eject(now, t, f.rule, evidenceOf(f, threshold))
}

// suspect takes t out of the healthy capacity.
func (h *home) suspect(now time.Time, t *target, f finding, threshold float64) {
	t.suspectedAt = now
	if t.state == StateSuspected {
		return
	}
	h.fire(now, t, triggerSuspect, f.rule, evidenceOf(f, threshold))
	h.probeReachability(now, t)
}

// clearSuspicion ends the suspicion of t.
func (h *home) clearSuspicion(now time.Time, t *target, f finding) {
	t.heldByFloor = false
	h.fire(now, t, triggerClear, RuleEvidenceFaded, evidenceOf(f, clearScore))
}

// reportFloorHold records that only the floor keeps t from ejection. While that
// lasts it records it once in holdReportInterval.
func (h *home) reportFloorHold(now time.Time, t *target, f finding, threshold float64) {
	if t.heldByFloor && now.Before(t.holdReportedAt.Add(holdReportInterval)) {
		return
	}
	t.heldByFloor = true
	t.holdReportedAt = now
	ev := evidenceOf(f, threshold)
	ev.Detail = "convicted by " + f.rule + "; stays because the floor would not hold without it"
	h.recordEvent(now, t, event.KindFloorHeld, RuleFloor, ev)
}

// reportCommonCause records that t would be ejected if its peers were not affected
// in the same way. It records that at most once in holdReportInterval.
func (h *home) reportCommonCause(now time.Time, t *target, f finding, threshold float64) {
	if now.Before(t.holdReportedAt.Add(holdReportInterval)) {
		return
	}
	t.holdReportedAt = now
	ev := evidenceOf(f, threshold)
	ev.Detail = "peers suffer alike in the same window"
	h.recordEvent(now, t, event.KindCommonCause, RuleCommonCause, ev)
}

// reviewSuspected ends suspicions without new evidence. It marks targets held by
// the floor for another evaluation once the floor allows their ejection.
func (h *home) reviewSuspected(now time.Time) {
	for _, t := range h.order {
		if t.state != StateSuspected {
			continue
		}
		if t.heldByFloor && h.floorAllows(t) {
			t.dirty = true
		}
		if now.Sub(t.lastSampleTime()) >= suspicionTime && now.Sub(t.suspectedAt) >= suspicionTime {
			t.samples = nil
			h.clearSuspicion(now, t, finding{})
		}
	}
}

// sampleRunning adds evidence against targets for attempts whose answer is overdue.
// Cold targets are excluded, since they may be slow.
func (h *home) sampleRunning(now time.Time) {
	for _, t := range h.order {
		if t.state == StateCold {
			continue
		}
		for _, id := range sortedIDs(t.running) {
			h.addRunningSample(now, t, t.running[id])
		}
	}
}

// addRunningSample adds the evidence of an attempt that is still running. It
// replaces the sample of a milder category for the same attempt.
func (h *home) addRunningSample(now time.Time, t *target, a *attempt) {
	age := now.Sub(a.started)
	c := a.route.classifyUnanswered(age)
	if c <= a.runningCategory {
		return
	}
	t.dropRunningSample(a)
	a.runningCategory = c
	h.addEvidence(now, t, sample{
		started: a.started, at: now, route: a.route, category: c, verdict: VerdictTimeout,
		unfinished: true, latency: age, id: a.ID,
	})
}

func sortedIDs(running map[RequestID]*attempt) []RequestID {
	ids := make([]RequestID, 0, len(running))
	for id := range running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
