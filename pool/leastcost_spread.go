package pool

import "time"

const (
	// At least inUseShare of the targets that are probably sound are used within
	// spreadTime. The floor requires that 0.7 of the sound targets have been used within
	// the last 2 s at the moment when a tenth of the service's requests is not served,
	// which happens without warning. A target is probably sound up to a risk of
	// inUseRisk, or of likelyRisk for retryable attempts.
	inUseShare = 0.9
	inUseRisk  = 0.33
	spreadTime = 1600 * time.Millisecond
	// While much is lost, all targets up to spreadRisk are used within spreadTime. The
	// floor counts a target as sound again 2 s after it failed a request, whether or
	// not it still fails, and leaves out the disrupted ones: if many are, few unused
	// targets may be most of those that count. Targets that have relapsed maxRelapses
	// times, which takes longer than faults of single targets usually last, are used
	// less often.
	spreadRisk       = 0.95
	maxRelapses      = 4
	relapsedInterval = 4 * spreadTime
	// spreadRecount is how long a count of the targets in use remains valid.
	spreadRecount = 25 * time.Millisecond
)

// spreadState is the result of the latest count of the targets in use.
type spreadState struct {
	counted time.Time
	due     bool
}

// chooseIdle returns the idle target where a costs least while too few targets
// are in use, and nil otherwise.
func (s *leastCost) chooseIdle(r *round, a *leastCostAttempt) *leastCostTarget {
	limit := s.spreadLimit(r.now, a)
	if !s.spreadDue(r, a.retryable(), limit) {
		return nil
	}
	var best *leastCostTarget
	var bestCost time.Duration
	for _, t := range r.free {
		if r.now.Sub(t.lastUsed) < t.spreadInterval() || !a.fits(t) || s.avoidsZoneOf(a, t) {
			continue
		}
		risk := s.riskFor(r, a, t)
		if risk > limit {
			continue
		}
		if c := s.cost(a, t, risk); best == nil || c < bestCost {
			best, bestCost = t, c
		}
	}
	return best
}

// spreadInterval returns the time within which t is used while too few targets are.
func (t *leastCostTarget) spreadInterval() time.Duration {
	if t.relapses >= maxRelapses {
		return relapsedInterval
	}
	return spreadTime
}

// countRelapse counts a failure of an attempt that was sent to t although t had failed
// before, and forgets them all once t answers.
func (t *leastCostTarget) countRelapse(now time.Time, a *leastCostAttempt, failure failureKind) {
	switch {
	case failure == noFailure:
		t.relapses, t.failedAt = 0, time.Time{}
	case t.failedAt.IsZero():
		t.failedAt = now
	case a.started.Sub(t.failedAt) >= spreadTime/2:
		t.relapses++
		t.failedAt = now
	}
}

// spreadLimit returns the risk up to which a may be given to idle targets.
func (s *leastCost) spreadLimit(now time.Time, a *leastCostAttempt) float64 {
	switch {
	case s.losses.much(now):
		return spreadRisk
	case a.retryable():
		return likelyRisk
	}
	return inUseRisk
}

// spreadDue reports whether too few targets with a risk up to the limit are in use.
// While much is lost, all of them have to be.
func (s *leastCost) spreadDue(r *round, retryable bool, limit float64) bool {
	if s.losses.much(r.now) {
		return true
	}
	state := s.spread[retryable]
	if r.now.Sub(state.counted) < spreadRecount {
		return state.due
	}
	likely, used := 0, 0
	for _, t := range s.order {
		inUse := r.now.Sub(t.lastUsed) < spreadTime
		if !t.usable() || s.riskOf(r, t) > limit || (!inUse && t.awaitsPermit(r.now)) {
			continue
		}
		likely++
		if inUse {
			used++
		}
	}
	state = spreadState{counted: r.now, due: float64(used) < inUseShare*float64(likely)}
	s.spread[retryable] = state
	return state.due
}
