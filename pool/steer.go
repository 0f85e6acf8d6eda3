package pool

import (
	"slices"
	"time"
)

const (
	// failureShare is the share of its work that a faulty target fails.
	failureShare = 0.8
	// lossCost is what the failure of an attempt that may not be repeated costs,
	// as time; repeatCost is what it costs one that may.
	lossCost  = 20 * time.Second
	retryCost = 3 * time.Second
	// connectCost is what a new connection costs, and farCost one to another
	// availability zone.
	connectCost   = 120 * time.Millisecond
	otherZoneCost = 100 * time.Millisecond
	// busyCost is what each attempt in flight adds, as a share of the usual
	// latency: some targets slow down when they are nearly full.
	inFlightCost = 0.15
	// avoidRisk is the risk of a target that could not be reached lately.
	avoidRisk = 0.9
	// lossRisk and repeatRisk are the risks above which an attempt waits for a
	// better target, as long as it has time, if there is one.
	unsafeRiskMax    = 0.25
	retryableRiskMax = 0.55
	// maxMisses is how many attempts that may not go to all targets alike are
	// looked at in one round in vain: more would cost a home its processor.
	maxMisses = 32
	// patience is the share of the time until its due time for which an attempt
	// waits for a better target than one that may well be sound, and likelyRisk
	// the risk above which it is likelier that it is not.
	waitShare  = 0.5
	likelyRisk = 0.5
	// riskFloor is the risk up to which targets count as equally sound.
	negligibleRisk = 0.005
	// idleTime is how long a target may go unused before a repeatable attempt is
	// sent there to learn about it, if its risk is at most idleRisk, and
	// exploreShare the share of such attempts.
	exploreIdleTime = time.Second
	exploreShare    = 0.1
	exploreRiskMax  = 0.33
)

// usable says whether t may get work.
func (t *steeredTarget) usable() bool {
	return t.listed && !t.Leaving && t.state != StateDraining && t.state != StateGone
}

// capacity returns the slots that may be used now.
func (t *steeredTarget) capacity() int {
	c := min(t.Slots, t.limit.slots)
	if t.Connections > 0 {
		c = min(c, t.Connections)
	}
	return c
}

// free returns the number of slots that an attempt could take now.
func (t *steeredTarget) free(now time.Time) int {
	if !t.usable() || now.Before(t.limit.pausedUntil) {
		return 0
	}
	return max(0, t.capacity()-len(t.running))
}

// risk returns the probability that t fails an attempt that starts now.
func (s *steered) risk(now time.Time, t *steeredTarget) float64 {
	b := t.belief
	for _, a := range t.running {
		if now.Sub(a.started) > overdueAge(s.latency(a.Route)) {
			b.observe(now, overdueRatio)
		}
	}
	return failureShare * b.probability(now)
}

// round is one pass over the queue. Its work grows with the targets and with the
// attempts that start, not with their product.
type round struct {
	now  time.Time
	free []*steeredTarget
	// risks caches the risk of targets.
	risks map[*steeredTarget]float64
	// busyBetter caches, by limit, whether a busy target is within it.
	busyWithin map[float64]bool
	// stuck holds the kinds of attempt of which one waits for a better target, and
	// misses counts those that wait and may not go to all targets alike.
	blocked map[bool]bool
	misses  map[bool]int
}

// dispatch starts what can start.
func (s *steered) dispatch(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	r := &round{
		now: now, risks: make(map[*steeredTarget]float64), busyWithin: make(map[float64]bool), blocked: make(map[bool]bool), misses: make(map[bool]int),
	}
	for _, t := range s.order {
		if t.free(now) > 0 {
			r.free = append(r.free, t)
		}
	}
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
			r.free = slices.DeleteFunc(r.free, func(o *steeredTarget) bool { return o == t })
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

// chooseOnce chooses a target for a, unless one like it that goes first waits
// for a better target. One that may go to all targets alike speaks for those
// that may not; of these, a few are looked at in vain and the others then wait,
// so that a round does not look at all targets for all that waits.
func (s *steered) chooseUnlessBlocked(r *round, a *steeredAttempt) *steeredTarget {
	kind := a.retryable()
	plain := len(a.Exclude)+len(a.Avoid)+len(a.Only) == 0
	if r.blocked[kind] || (!plain && r.misses[kind] >= maxMisses) {
		return nil
	}
	t := s.choose(r, a)
	if t == nil && plain {
		r.blocked[kind] = true
	} else if t == nil {
		r.misses[kind]++
	}
	return t
}

// start gives a to t.
func (s *steered) start(now time.Time, a *steeredAttempt, t *steeredTarget) {
	a.started, a.target = now, t
	t.lastUsed, t.newlyListed = now, false
	s.startedLoad.add(now, s.latency(a.Route))
	t.running[a.ID] = a
	s.running[a.ID] = a
	s.delegate.Start(a.ID, t.Name)
}

// riskOf returns the risk of t in this round.
func (s *steered) riskOf(r *round, t *steeredTarget) float64 {
	risk, known := r.risks[t]
	if !known {
		risk = s.risk(r.now, t)
		r.risks[t] = risk
	}
	return risk
}

// riskFor returns the risk of t for whoever runs a.
func (s *steered) riskFor(r *round, a *steeredAttempt, t *steeredTarget) float64 {
	risk := s.riskOf(r, t)
	if slices.Contains(a.Avoid, t.Name) {
		return max(risk, avoidRisk)
	}
	return risk
}

// betterIsBusy says whether a target within the limit has no free slot.
func (s *steered) busyTargetWithin(r *round, limit float64) bool {
	better, known := r.busyWithin[limit]
	if !known {
		better = slices.ContainsFunc(s.order, func(t *steeredTarget) bool {
			return t.usable() && t.free(r.now) == 0 && s.riskOf(r, t) <= limit
		})
		r.busyWithin[limit] = better
	}
	return better
}

// choose returns the free target where a costs least, or nil if a waits.
func (s *steered) choose(r *round, a *steeredAttempt) *steeredTarget {
	if t := s.chooseIdle(r, a); t != nil {
		return t
	}
	var best, idle *steeredTarget
	var bestCost time.Duration
	for _, t := range r.free {
		if !a.fits(t) {
			continue
		}
		risk := s.riskFor(r, a, t)
		if risk <= exploreRiskMax && r.now.Sub(t.lastUsed) > exploreIdleTime {
			idle = t
		}
		if c := s.cost(a, t, risk); best == nil || c < bestCost {
			best, bestCost = t, c
		}
	}
	if idle != nil && a.retryable() && len(a.Exclude) == 0 && s.rng.Float64() < exploreShare {
		return idle
	}
	if best == nil {
		return nil
	}
	limit := unsafeRiskMax
	if a.retryable() {
		limit = retryableRiskMax
	}
	risk := s.riskFor(r, a, best)
	if risk > limit && r.now.Before(s.waitUntil(a, risk)) && s.busyTargetWithin(r, limit) {
		return nil
	}
	return best
}

// mayFail says whether another attempt can make up for the failure of a.
func (a *steeredAttempt) retryable() bool { return a.Idempotent && !a.LastAttempt }

// waitsUntil returns how long a waits for a better target than one of the given
// risk. A likely failure is worth waiting for as long as a can still end in time.
func (s *steered) waitUntil(a *steeredAttempt, risk float64) time.Time {
	usual := s.latency(a.Route)
	switch {
	case risk <= likelyRisk:
		return a.submitted.Add(time.Duration(waitShare * float64(a.SoftDeadline.Sub(a.submitted)-usual)))
	case a.retryable():
		return a.SoftDeadline.Add(-usual)
	}
	return a.Deadline.Add(-2 * usual)
}

// fits says whether a may run on t at all.
func (a *steeredAttempt) fits(t *steeredTarget) bool {
	if len(a.Only) > 0 && !slices.Contains(a.Only, t.Name) {
		return false
	}
	return !slices.Contains(a.Exclude, t.Name)
}

// cost returns the expected cost of running a on t, as time.
func (s *steered) cost(a *steeredAttempt, t *steeredTarget, risk float64) time.Duration {
	usual := float64(s.latency(a.Route))
	risk = max(0, risk-negligibleRisk)
	if t.newlyListed {
		// Its first request shows what a new target is worth.
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
	if a.AvailabilityZone != t.AvailabilityZone {
		c += float64(otherZoneCost)
	}
	return time.Duration(c)
}
