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
	failureShare = 0.8
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
	repeatRisk = 0.55
	// patience is the share of the time until its due time for which an attempt
	// waits for a better target than one that may well be sound, and likelyRisk
	// the risk above which it is likelier that it is not.
	patience   = 0.5
	likelyRisk = 0.5
	// riskFloor is the risk up to which targets count as equally sound.
	riskFloor = 0.005
	// At least keptShare of the targets that are likely sound are used within
	// spreadTime: the floor wants 0.7 of the sound ones in use over 2 s at the
	// moment when a tenth is lost, which comes unforeseen. Likely sound are those
	// up to keptRisk, for work that may be repeated those up to likelyRisk.
	keptShare  = 0.9
	keptRisk   = 0.33
	spreadTime = 1600 * time.Millisecond
	// spreadLoss is the share of lost requests above which spreadShare of all
	// targets are used within spreadTime, up to spreadRisk by work that may be
	// repeated: a doubtful target may be sound by now.
	spreadLoss  = 0.07
	spreadShare = 0.85
	spreadRisk  = 0.95
	// spreadReview is how long a share in use, once counted, is taken to hold.
	spreadReview = 25 * time.Millisecond
	// idleTime is how long a target may go unused before a repeatable attempt is
	// sent there to learn about it, if its risk is at most idleRisk, and
	// exploreShare the share of such attempts.
	idleTime     = time.Second
	exploreShare = 0.1
	idleRisk     = 0.33
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

// round is one pass over the queue. Its work grows with the targets and with the
// attempts that start, not with their product.
type round struct {
	now  time.Time
	free []*steeredTarget
	// risks caches the risk of targets.
	risks map[*steeredTarget]float64
	// busyBetter caches, by limit, whether a busy target is within it.
	busyBetter map[float64]bool
	// stuck holds the kinds of attempt of which one waits for a better target.
	stuck map[bool]bool
}

// dispatch starts what can start.
func (s *steered) dispatch(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	r := &round{
		now: now, risks: make(map[*steeredTarget]float64), busyBetter: make(map[float64]bool), stuck: make(map[bool]bool),
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
		t := s.chooseOnce(r, a)
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
// for a better target.
func (s *steered) chooseOnce(r *round, a *steeredAttempt) *steeredTarget {
	plain := len(a.Exclude)+len(a.Avoid)+len(a.Only) == 0
	if plain && r.stuck[a.mayFail()] {
		return nil
	}
	t := s.choose(r, a)
	if t == nil && plain {
		r.stuck[a.mayFail()] = true
	}
	return t
}

// start gives a to t.
func (s *steered) start(now time.Time, a *steeredAttempt, t *steeredTarget) {
	a.started, a.target = now, t
	t.used, t.joined = now, false
	s.started.add(now, s.latency(a.Route))
	t.running[a.ID] = a
	s.running[a.ID] = a
	s.delegate.Start(a.ID, t.Name)
}

// compare orders the queue: by priority, then those that can still end when they
// are due before those that cannot, then by the time they are due.
func (a *steeredAttempt) compare(b *steeredAttempt) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.late, b.late), a.Due.Compare(b.Due))
}

// enqueue puts a in its place in the queue.
func (s *steered) enqueue(now time.Time, a *steeredAttempt) {
	a.late = s.lateness(now, a)
	i, _ := slices.BinarySearchFunc(s.waiting, a, func(o, a *steeredAttempt) int {
		// Behind its equals: they came first.
		return cmp.Or(o.compare(a), -1)
	})
	s.waiting = slices.Insert(s.waiting, i, a)
}

// sortWaiting renews the order of the queue, as some have become late.
func (s *steered) sortWaiting(now time.Time) {
	for _, a := range s.waiting {
		a.late = s.lateness(now, a)
	}
	slices.SortStableFunc(s.waiting, func(a, b *steeredAttempt) int { return a.compare(b) })
}

// lateness is 0 for an attempt that can still end when it is due, else 1.
func (s *steered) lateness(now time.Time, a *steeredAttempt) int {
	if now.Add(s.latency(a.Route)).After(a.Due) {
		return 1
	}
	return 0
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
func (s *steered) betterIsBusy(r *round, limit float64) bool {
	better, known := r.busyBetter[limit]
	if !known {
		better = slices.ContainsFunc(s.order, func(t *steeredTarget) bool {
			return t.usable() && t.free(r.now) == 0 && s.riskOf(r, t) <= limit
		})
		r.busyBetter[limit] = better
	}
	return better
}

// choose returns the free target where a costs least, or nil if a waits.
func (s *steered) choose(r *round, a *steeredAttempt) *steeredTarget {
	if t := s.idleOne(r, a); t != nil {
		return t
	}
	var best, idle *steeredTarget
	var bestCost time.Duration
	for _, t := range r.free {
		if !a.fits(t) {
			continue
		}
		risk := s.riskFor(r, a, t)
		if risk <= idleRisk && r.now.Sub(t.used) > idleTime {
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
	limit := lossRisk
	if a.mayFail() {
		limit = repeatRisk
	}
	risk := s.riskFor(r, a, best)
	if risk > limit && r.now.Before(s.waitsUntil(a, risk)) && s.betterIsBusy(r, limit) {
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

// idleOne returns the idle target where a costs least while fewer targets are in
// use than should be, and nil otherwise.
func (s *steered) idleOne(r *round, a *steeredAttempt) *steeredTarget {
	limit := s.spreadLimit(a)
	if !s.mustSpread(r, a.mayFail(), limit) {
		return nil
	}
	var best *steeredTarget
	var bestCost time.Duration
	for _, t := range r.free {
		if r.now.Sub(t.used) < spreadTime || !a.fits(t) {
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
	case s.lost > spreadLoss && a.mayFail():
		return spreadRisk
	case s.lost > spreadLoss || a.mayFail():
		return likelyRisk
	}
	return keptRisk
}

// mustSpread says whether fewer targets are in use than should be: of all while
// much work is lost, else of those up to the limit.
func (s *steered) mustSpread(r *round, mayFail bool, limit float64) bool {
	state := s.spread[mayFail]
	if r.now.Sub(state.counted) < spreadReview {
		return state.due
	}
	share := keptShare
	if s.lost > spreadLoss {
		share, limit = spreadShare, 1
	}
	likely, used := 0, 0
	for _, t := range s.order {
		if !t.usable() || s.riskOf(r, t) > limit {
			continue
		}
		likely++
		if r.now.Sub(t.used) < spreadTime {
			used++
		}
	}
	state = spreadState{counted: r.now, due: float64(used) < share*float64(likely)}
	s.spread[mayFail] = state
	return state.due
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
	s.refuseWaiting(now, func(a *steeredAttempt) bool {
		return now.Add(s.latency(a.Route) / 2).After(a.Deadline)
	})
}

// refuseHopeless refuses late attempts that would not start in time behind the
// work that goes first: what waits before them, and what comes meanwhile.
func (s *steered) refuseHopeless(now time.Time) {
	var ahead time.Duration
	slots, left := s.queueSlots(now)
	s.refuseWaiting(now, func(a *steeredAttempt) bool {
		wait := time.Duration(float64(ahead) / slots / left)
		usual := s.latency(a.Route)
		if a.late == 1 && now.Add(wait+usual/2).After(a.Deadline) {
			return true
		}
		ahead += usual
		return false
	})
}

// refuseWaiting refuses the waiting attempts that are hopeless.
func (s *steered) refuseWaiting(now time.Time, hopeless func(*steeredAttempt) bool) {
	kept := s.waiting[:0]
	var refused []*steeredAttempt
	for _, a := range s.waiting {
		if hopeless(a) {
			refused = append(refused, a)
		} else {
			kept = append(kept, a)
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	for _, a := range refused {
		s.refuse(now, a, Refusal{Reason: outcome.ReasonTooLate, RetryAfter: s.drainTime(a)})
	}
}

// before says how many targets had the request of a, for those who read a refusal.
func (a *steeredAttempt) before() string {
	if len(a.Exclude) == 0 {
		return ""
	}
	return fmt.Sprintf("this was a further attempt; %d targets had the request before", len(a.Exclude))
}

// refuse ends an attempt that never started and records why.
func (s *steered) refuse(now time.Time, a *steeredAttempt, r Refusal) {
	s.delegate.Event(event.Event{
		Time: now, Kind: event.KindRefusal, Service: s.cfg.Service, Request: fmt.Sprint(a.ID), Rule: string(r.Reason),
		Evidence: event.Evidence{Queued: len(s.waiting), Wait: s.drainTime(a), HealthySlots: s.slots(a), Detail: a.before()},
	})
	s.countLoss(true)
	s.delegate.Refuse(a.ID, r)
}
