package pool

import "time"

const (
	// pendingFactor and pendingMin define when a running attempt is evidence against
	// its target: after this multiple of the usual latency, and at least this time.
	pendingFactor = 1
	pendingMin    = 50 * time.Millisecond
	// commonShare is the share of the busy targets with an overdue attempt from which
	// on the cause is assumed to be common, and commonTargets the least number of them.
	commonShare   = 0.6
	commonTargets = 4
)

// pendingRatio returns the likelihood ratio of an attempt that has had no answer until
// now. It is 1 while most targets are slow, because the cause is common to them.
func (s *leastCost) pendingRatio(now time.Time, a *leastCostAttempt) float64 {
	age, usual := now.Sub(a.started), s.latency(a.Route)
	if age < pendingMin || float64(age) < pendingFactor*float64(usual) || s.slowInCommon {
		return 1
	}
	return s.tail(a.Route).pendingRatio(slowness(age, usual), s.signature.hangShare())
}

// learnPending counts an attempt without an answer as a slow one, as far as its
// target is not likely to be faulty.
func (s *leastCost) learnPending(now time.Time, a *leastCostAttempt) {
	if x := slowness(now.Sub(a.started), s.latency(a.Route)); x > pendingFactor {
		s.tail(a.Route).add(x, 1-a.target.belief.probability(now))
	}
}

// tail returns the distribution of a route's latencies.
func (s *leastCost) tail(route string) *latencyTail {
	l := s.tails[route]
	if l == nil {
		l = &latencyTail{}
		s.tails[route] = l
	}
	return l
}

// mostAreOverdue reports whether most of the busy targets have an overdue attempt.
func (s *leastCost) mostAreOverdue(now time.Time) bool {
	busy, overdue := 0, 0
	for _, t := range s.order {
		if len(t.running) == 0 {
			continue
		}
		busy++
		for _, a := range t.running {
			if now.Sub(a.started) > overdueAge(s.latency(a.Route)) {
				overdue++
				break
			}
		}
	}
	return busy >= commonTargets && float64(overdue) >= commonShare*float64(busy)
}
