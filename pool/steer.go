package pool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
)

const (
	// failureShare is the share of its work that a faulty target fails.
	failureShare = 0.85
	// lossCost is what the failure of an attempt that may not be repeated costs,
	// as time; repeatCost is what it costs one that may.
	lossCost   = 20 * time.Second
	repeatCost = 3 * time.Second
	// connectCost is what a new connection costs, and farCost one to another
	// availability zone.
	connectCost = 120 * time.Millisecond
	farCost     = 100 * time.Millisecond
	// busyCost is what each attempt in flight adds, as a share of the usual
	// latency: some targets slow down when they are nearly full.
	busyCost = 0.15
	// avoidRisk is the risk of a target that could not be reached lately.
	avoidRisk = 0.9
	// lossRisk and repeatRisk are the risks above which an attempt waits for a
	// better target, as long as it has time, if there is one.
	lossRisk   = 0.25
	repeatRisk = 0.6
	// patience is the share of the time until its due time for which an attempt
	// waits for a better target than one that may well be sound, and likelyRisk
	// the risk above which it is likelier that it is not.
	patience   = 0.5
	likelyRisk = 0.5
	// riskFloor is the risk up to which targets count as equally sound.
	riskFloor = 0.005
	// spreadLoss is the share of lost requests above which at least spreadShare
	// of the targets are used within spreadTime, up to spreadRisk: the floor holds
	// 0.7 of the sound ones in use over 2 s once a tenth is lost.
	spreadLoss  = 0.07
	spreadShare = 0.85
	spreadTime  = 1600 * time.Millisecond
	spreadRisk  = 0.95
	// idleTime is how long a target may go unused before a repeatable attempt is
	// sent there to learn about it, if its risk is at most idleRisk, and
	// exploreShare the share of such attempts.
	idleTime     = time.Second
	exploreShare = 0.1
	idleRisk     = 0.35
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
		if now.Sub(a.started) > overdue(s.latency(a.Route)) {
			b.observe(now, overdueRatio)
		}
	}
	return failureShare * b.now(now)
}

// dispatch starts what can start and refuses what no longer can.
func (s *steered) dispatch(now time.Time) {
	s.expire(now)
	if len(s.waiting) == 0 {
		return
	}
	risks := make(map[*steeredTarget]float64, len(s.order))
	for _, t := range s.order {
		risks[t] = s.risk(now, t)
	}
	s.sortWaiting(now)
	kept := s.waiting[:0]
	for _, a := range s.waiting {
		t := s.choose(now, a, risks)
		if t == nil {
			kept = append(kept, a)
			continue
		}
		a.started, a.target = now, t
		t.used, t.joined = now, false
		t.running[a.ID] = a
		s.running[a.ID] = a
		s.delegate.Start(a.ID, t.Name)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

// sortWaiting orders the queue: by priority, then those that can still end when
// they are due before those that cannot, then by the time they are due.
func (s *steered) sortWaiting(now time.Time) {
	slices.SortStableFunc(s.waiting, func(a, b *steeredAttempt) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(s.lateness(now, a), s.lateness(now, b)),
			a.Due.Compare(b.Due),
		)
	})
}

// lateness is 0 for an attempt that can still end when it is due, else 1.
func (s *steered) lateness(now time.Time, a *steeredAttempt) int {
	if now.Add(s.latency(a.Route)).After(a.Due) {
		return 1
	}
	return 0
}

// choose returns the free target where a costs least, or nil if a waits.
func (s *steered) choose(now time.Time, a *steeredAttempt, risks map[*steeredTarget]float64) *steeredTarget {
	if t := s.spread(now, a, risks); t != nil {
		return t
	}
	var best, idle *steeredTarget
	var bestCost time.Duration
	better := false
	limit := lossRisk
	if a.mayFail() {
		limit = repeatRisk
	}
	for _, t := range s.order {
		if !t.usable() || !a.fits(t) {
			continue
		}
		risk := risks[t]
		if slices.Contains(a.Avoid, t.Name) {
			risk = max(risk, avoidRisk)
		}
		if t.free(now) == 0 {
			better = better || risk <= limit
			continue
		}
		if risk <= idleRisk && now.Sub(t.used) > idleTime {
			idle = t
		}
		if c := s.cost(a, t, risk); best == nil || c < bestCost {
			best, bestCost = t, c
		}
	}
	if idle != nil && a.mayFail() && len(a.Exclude) == 0 && s.rng.Float64() < exploreShare {
		return idle
	}
	if best == nil {
		return nil
	}
	risk := risks[best]
	if slices.Contains(a.Avoid, best.Name) {
		risk = max(risk, avoidRisk)
	}
	if better && risk > limit && now.Before(s.waitsUntil(a, risk)) {
		return nil
	}
	return best
}

// mayFail says whether another attempt can make up for the failure of a.
func (a *steeredAttempt) mayFail() bool { return a.Idempotent && !a.Last }

// waitsUntil returns how long a waits for a better target than one of the given
// risk. A likely failure is worth waiting for as long as a can still end in time.
func (s *steered) waitsUntil(a *steeredAttempt, risk float64) time.Time {
	usual := s.latency(a.Route)
	switch {
	case risk <= likelyRisk:
		return a.submitted.Add(time.Duration(patience * float64(a.Due.Sub(a.submitted)-usual)))
	case a.mayFail():
		return a.Due.Add(-usual)
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

// spread returns an idle target for a while much work is lost and few targets
// are in use: a doubtful one may be sound by now. It returns nil otherwise.
func (s *steered) spread(now time.Time, a *steeredAttempt, risks map[*steeredTarget]float64) *steeredTarget {
	if s.lost <= spreadLoss {
		return nil
	}
	var best *steeredTarget
	limit := likelyRisk
	if a.mayFail() {
		limit = spreadRisk
	}
	usable, used := 0, 0
	for _, t := range s.order {
		if !t.usable() {
			continue
		}
		usable++
		if now.Sub(t.used) < spreadTime {
			used++
			continue
		}
		if t.free(now) > 0 && a.fits(t) && risks[t] <= limit && (best == nil || risks[t] < risks[best]) {
			best = t
		}
	}
	if float64(used) >= spreadShare*float64(usable) {
		return nil
	}
	return best
}

// cost returns the expected cost of running a on t, as time.
func (s *steered) cost(a *steeredAttempt, t *steeredTarget, risk float64) time.Duration {
	usual := float64(s.latency(a.Route))
	risk = max(0, risk-riskFloor)
	if t.joined {
		// Its first request shows what a new target is worth.
		risk = 0
	}
	loss := lossCost
	if a.mayFail() {
		loss = repeatCost
	}
	c := risk*float64(loss) + usual*t.slowness + usual*busyCost*float64(len(t.running))
	if !slices.Contains(a.Prefer, t.Name) {
		c += float64(connectCost)
	}
	if a.AvailabilityZone != t.AvailabilityZone {
		c += float64(farCost)
	}
	return time.Duration(c)
}

// expire refuses waiting attempts that cannot end in time any more.
func (s *steered) expire(now time.Time) {
	kept := s.waiting[:0]
	var expired []*steeredAttempt
	for _, a := range s.waiting {
		if now.Add(s.latency(a.Route) / 2).After(a.Deadline) {
			expired = append(expired, a)
		} else {
			kept = append(kept, a)
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	for _, a := range expired {
		s.refuse(now, a, Refusal{Reason: outcome.ReasonTooLate, RetryAfter: s.drainTime(a)})
	}
}

// refuse ends an attempt that never started and records why.
func (s *steered) refuse(now time.Time, a *steeredAttempt, r Refusal) {
	s.delegate.Event(event.Event{
		Time: now, Kind: event.KindRefusal, Service: s.cfg.Service, Request: fmt.Sprint(a.ID), Rule: string(r.Reason),
		Evidence: event.Evidence{Queued: len(s.waiting), Wait: s.drainTime(a), HealthySlots: s.slots(a)},
	})
	s.countLoss(true)
	s.delegate.Refuse(a.ID, r)
}
