package pool

import (
	"slices"
	"time"
)

const (
	// failureShare is the share of its requests that a faulty target fails.
	failureShare = 0.8
	// lossCost is the cost, as a time, of a failed attempt that may not be retried,
	// and retryCost that of one that may.
	lossCost  = 20 * time.Second
	retryCost = 3 * time.Second
	// connectCost is the cost of opening a connection.
	connectCost = 300 * time.Millisecond
	// inFlightCost is the cost of each attempt in flight, as a share of the usual
	// latency. Some targets slow down when they are nearly full.
	inFlightCost = 0.15
	// avoidRisk is the least risk of a target that recently could not be reached.
	avoidRisk = 0.9
	// unsafeRiskMax and retryableRiskMax are the risks above which an attempt waits
	// for a better target, if there is one and the attempt has time. unsafeRiskMax
	// applies to attempts that may not be retried. If the failure of such an attempt is
	// likely, it also waits for a target with a risk up to likelierRiskMax.
	unsafeRiskMax    = 0.25
	retryableRiskMax = 0.55
	likelierRiskMax  = 0.4
	// maxMisses is the number of restricted attempts for which one round searches a
	// target without success. More searches would take too much of a home's CPU time.
	maxMisses = 32
	// waitShare is the share of the time until its soft deadline for which an attempt
	// waits for a better target than one that is probably sound. Above likelyRisk a
	// target is more likely to fail the attempt than not.
	waitShare  = 0.5
	likelyRisk = 0.5
	// negligibleRisk is the risk up to which targets count as equally sound.
	negligibleRisk = 0.005
	// exploreIdleTime is how long a target may be unused before a retryable attempt
	// is sent there to learn about it, provided that its risk is at most
	// exploreRiskMax. exploreShare is the share of such attempts.
	exploreIdleTime = time.Second
	exploreShare    = 0.1
	exploreRiskMax  = 0.33
)

// usable reports whether t may be given attempts.
func (t *leastCostTarget) usable() bool {
	return t.listed && !t.Leaving && t.state != StateDraining && t.state != StateGone
}

// capacity returns the number of slots that may be used now.
func (t *leastCostTarget) capacity() int {
	c := min(t.Slots, t.limit.slots)
	if t.Connections > 0 {
		c = min(c, t.Connections)
	}
	return c
}

// free returns the number of slots that an attempt could take now.
func (t *leastCostTarget) free(now time.Time) int {
	if !t.usable() || now.Before(t.limit.pausedUntil) {
		return 0
	}
	free := max(0, t.capacity()-len(t.running))
	return min(free, t.permits(now, free))
}

// risk returns the probability that t fails an attempt that starts now.
func (s *leastCost) risk(now time.Time, t *leastCostTarget) float64 {
	b := t.belief
	for _, a := range t.running {
		if ratio := s.pendingRatio(now, a); ratio > 1 {
			b.observe(now, ratio)
		}
	}
	return failureShare * b.probability(now)
}

// round is one pass over the queue. Its cost grows with the number of targets
// plus the number of attempts that start, not with their product.
type round struct {
	now  time.Time
	free []*leastCostTarget
	// risks caches the risk of targets.
	risks map[*leastCostTarget]float64
	// busyWithin caches, by risk limit, whether a target within it has no free slot.
	busyWithin map[float64]bool
	// blocked and misses are keyed by whether the attempts are retryable. blocked is
	// set if an unrestricted attempt waits for a better target. misses counts the
	// restricted attempts that wait.
	blocked map[bool]bool
	misses  map[bool]int
	// zoneWithin holds whether a busy target of a zone has a risk up to a limit, and
	// zoneWaits the zones for whose targets an attempt waits.
	zoneWithin map[zoneLimit]bool
	zoneWaits  map[string]bool
}

// newRound returns a pass over the queue at a time.
func (s *leastCost) newRound(now time.Time) *round {
	r := &round{
		now: now, risks: make(map[*leastCostTarget]float64), busyWithin: make(map[float64]bool), blocked: make(map[bool]bool), misses: make(map[bool]int),
		zoneWithin: make(map[zoneLimit]bool), zoneWaits: make(map[string]bool),
	}
	for _, t := range s.order {
		if t.free(now) > 0 {
			r.free = append(r.free, t)
		}
	}
	return r
}

// dispatch starts the waiting attempts that can start.
func (s *leastCost) dispatch(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	r := s.newRound(now)
	kept := s.waiting[:0]
	for i, a := range s.waiting {
		if len(r.free) == 0 {
			kept = append(kept, s.waiting[i:]...)
			break
		}
		t := s.chooseUnlessBlocked(r, a)
		if t == nil {
			kept = append(kept, a)
			continue
		}
		s.start(now, a, t)
		if t.free(now) == 0 {
			r.free = slices.DeleteFunc(r.free, func(o *leastCostTarget) bool { return o == t })
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

// chooseUnlessBlocked chooses a target for a, unless an equally retryable attempt
// ahead of it waits for a better target. An unrestricted attempt, which may use all
// targets alike, blocks all those behind it, restricted ones too. A restricted attempt
// blocks nothing, but after maxMisses of them the others wait, so that a round does
// not search all targets for every waiting attempt.
func (s *leastCost) chooseUnlessBlocked(r *round, a *leastCostAttempt) *leastCostTarget {
	retryable := a.retryable()
	unrestricted := len(a.Exclude)+len(a.Paused)+len(a.Avoid)+len(a.Only) == 0
	if r.blocked[retryable] || (!unrestricted && r.misses[retryable] >= maxMisses) || s.waitsForZone(r, a) {
		return nil
	}
	t := s.choose(r, a)
	if t == nil && s.waitsForZone(r, a) {
		return nil // others use the free targets of other zones
	}
	if t == nil && unrestricted {
		r.blocked[retryable] = true
	} else if t == nil {
		r.misses[retryable]++
	}
	return t
}

// start runs a on t.
func (s *leastCost) start(now time.Time, a *leastCostAttempt, t *leastCostTarget) {
	if t.rate != nil {
		t.rate.permits.Take(now)
	}
	a.started, a.target = now, t
	t.lastUsed, t.newlyListed = now, false
	s.startedLoad.add(now, s.latency(a.Route))
	s.shares.start(now, a, s.latency(a.Route))
	t.running[a.ID] = a
	s.running[a.ID] = a
	s.delegate.Start(a.ID, t.Name)
}

// riskOf returns the risk of t in this round.
func (s *leastCost) riskOf(r *round, t *leastCostTarget) float64 {
	risk, known := r.risks[t]
	if !known {
		risk = s.risk(r.now, t)
		r.risks[t] = risk
	}
	return risk
}

// riskFor returns the risk of t for the node that runs a.
func (s *leastCost) riskFor(r *round, a *leastCostAttempt, t *leastCostTarget) float64 {
	risk := s.riskOf(r, t)
	if slices.Contains(a.Avoid, t.Name) {
		return max(risk, avoidRisk)
	}
	return risk
}

// busyTargetWithin reports whether a usable target with a risk up to the limit has
// no free slot. One that awaits a permit is no better once a slot is free.
func (s *leastCost) busyTargetWithin(r *round, limit float64) bool {
	better, known := r.busyWithin[limit]
	if !known {
		better = slices.ContainsFunc(s.order, func(t *leastCostTarget) bool {
			return t.usable() && t.free(r.now) == 0 && !t.awaitsPermit(r.now) && s.riskOf(r, t) <= limit
		})
		r.busyWithin[limit] = better
	}
	return better
}

// choose returns the free target where a costs least, or nil if a has to wait.
func (s *leastCost) choose(r *round, a *leastCostAttempt) *leastCostTarget {
	if t := s.chooseIdle(r, a); t != nil {
		return t
	}
	var best, unused *leastCostTarget
	var bestCost time.Duration
	for _, t := range r.free {
		if !a.fits(t) {
			continue
		}
		risk := s.riskFor(r, a, t)
		if risk <= exploreRiskMax && r.now.Sub(t.lastUsed) > exploreIdleTime && !s.avoidsZoneOf(a, t) {
			unused = t
		}
		if c := s.cost(a, t, risk); best == nil || c < bestCost {
			best, bestCost = t, c
		}
	}
	if unused != nil && a.retryable() && len(a.Exclude) == 0 && s.rng.Float64() < exploreShare {
		return unused
	}
	if best == nil {
		return nil
	}
	limit := unsafeRiskMax
	if a.retryable() {
		limit = retryableRiskMax
	}
	risk := s.riskFor(r, a, best)
	if risk > likelyRisk {
		limit = max(limit, likelierRiskMax)
	}
	if s.staysInZone(r, a, best, limit) {
		r.zoneWaits[a.AvailabilityZone] = true
		return nil
	}
	if risk > limit && r.now.Before(s.waitUntil(a, risk)) && s.busyTargetWithin(r, limit) {
		return nil
	}
	return best
}

// retryable reports whether another attempt can make up for the failure of a.
func (a *leastCostAttempt) retryable() bool { return a.Idempotent && !a.LastAttempt }

// waitUntil returns until when a waits for a better target than one of the given
// risk. If a failure is likely, a waits as long as it can still end in time.
func (s *leastCost) waitUntil(a *leastCostAttempt, risk float64) time.Time {
	usual := s.latency(a.Route)
	switch {
	case risk <= likelyRisk:
		return a.submitted.Add(time.Duration(waitShare * float64(a.SoftDeadline.Sub(a.submitted)-usual)))
	case a.retryable():
		return a.SoftDeadline.Add(-usual)
	}
	return a.Deadline.Add(-2 * usual)
}

// fits reports whether a may run on t at all.
func (a *leastCostAttempt) fits(t *leastCostTarget) bool {
	if len(a.Only) > 0 && !slices.Contains(a.Only, t.Name) {
		return false
	}
	return !slices.Contains(a.Exclude, t.Name) && !slices.Contains(a.Paused, t.Name)
}

// cost returns the expected cost of running a on t, as a time.
func (s *leastCost) cost(a *leastCostAttempt, t *leastCostTarget, risk float64) time.Duration {
	usual := float64(s.latency(a.Route))
	risk = max(0, risk-negligibleRisk)
	if t.newlyListed {
		// The first request to a new target shows whether it works.
		risk = 0
	}
	loss := lossCost
	if a.retryable() {
		loss = retryCost
	}
	c := risk*float64(loss) + usual*t.slowness + usual*inFlightCost*float64(len(t.running))
	if !slices.Contains(a.Prefer, t.Name) {
		c += float64(connectCost)
	}
	return time.Duration(c) + s.zoneCost(a, t)
}
