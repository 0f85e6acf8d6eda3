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
	// spreadLossShare is the share of lost requests above which at least spreadShare
	// of all targets are used within spreadTime. Retryable attempts go to targets up
	// to spreadRisk then, and others up to spreadUnsafeRisk. A target that reset a
	// request some seconds ago may be sound again, and the floor then counts it.
	spreadLossShare  = 0.07
	spreadShare      = 0.85
	spreadRisk       = 0.95
	spreadUnsafeRisk = 0.6
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
	limit := s.spreadLimit(a)
	if !s.spreadDue(r, a.retryable(), limit) {
		return nil
	}
	var best *leastCostTarget
	var bestCost time.Duration
	for _, t := range r.free {
		if r.now.Sub(t.lastUsed) < spreadTime || !a.fits(t) {
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

// spreadLimit returns the risk up to which a may be given to idle targets.
func (s *leastCost) spreadLimit(a *leastCostAttempt) float64 {
	switch {
	case s.lossShare > spreadLossShare && a.retryable():
		return spreadRisk
	case s.lossShare > spreadLossShare:
		return spreadUnsafeRisk
	case a.retryable():
		return likelyRisk
	}
	return inUseRisk
}

// spreadDue reports whether too few targets are in use: of all targets while many
// requests are lost, else of those with a risk up to the limit.
func (s *leastCost) spreadDue(r *round, retryable bool, limit float64) bool {
	state := s.spread[retryable]
	if r.now.Sub(state.counted) < spreadRecount {
		return state.due
	}
	share := inUseShare
	if s.lossShare > spreadLossShare {
		share, limit = spreadShare, 1
	}
	likely, used := 0, 0
	for _, t := range s.order {
		if !t.usable() || s.riskOf(r, t) > limit {
			continue
		}
		likely++
		if r.now.Sub(t.lastUsed) < spreadTime {
			used++
		}
	}
	state = spreadState{counted: r.now, due: float64(used) < share*float64(likely)}
	s.spread[retryable] = state
	return state.due
}
