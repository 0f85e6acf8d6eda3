package pool

import "time"

const (
	// At least keptShare of the targets that are likely sound are used within
	// spreadTime: the floor wants 0.7 of the sound ones in use over 2 s at the
	// moment when a tenth is lost, which comes unforeseen. Likely sound are those
	// up to keptRisk, for work that may be repeated those up to likelyRisk.
	inUseShare = 0.9
	inUseRisk  = 0.33
	spreadTime = 1600 * time.Millisecond
	// spreadLoss is the share of lost requests above which spreadShare of all
	// targets are used within spreadTime, up to spreadRisk by work that may be
	// repeated and up to spreadOnceRisk by other: a target that reset a request
	// some seconds ago may be sound by now, and the floor counts it.
	spreadLossShare  = 0.07
	spreadShare      = 0.85
	spreadRisk       = 0.95
	spreadUnsafeRisk = 0.6
	// spreadReview is how long a share in use, once counted, is taken to hold.
	spreadRecount = 25 * time.Millisecond
)

// spreadState is whether too few targets were in use when they were counted.
type spreadState struct {
	counted time.Time
	due     bool
}

// idleOne returns the idle target where a costs least while fewer targets are in
// use than should be, and nil otherwise.
func (s *steered) chooseIdle(r *round, a *steeredAttempt) *steeredTarget {
	limit := s.spreadLimit(a)
	if !s.spreadDue(r, a.retryable(), limit) {
		return nil
	}
	var best *steeredTarget
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

// spreadLimit returns the risk up to which a is given to idle targets.
func (s *steered) spreadLimit(a *steeredAttempt) float64 {
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

// mustSpread says whether fewer targets are in use than should be: of all while
// much work is lost, else of those up to the limit.
func (s *steered) spreadDue(r *round, mayFail bool, limit float64) bool {
	state := s.spread[mayFail]
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
	s.spread[mayFail] = state
	return state.due
}
