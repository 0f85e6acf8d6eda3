package pool

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"filbertmill.example/retry"
)

// maxNamedTargets limits the number of targets that an event names.
const maxNamedTargets = 8

// rateLimit limits the rate of a target's requests: each one takes a permit.
type rateLimit struct {
	rate    retry.Rate
	permits *retry.Bucket
}

// SetRateLimits implements LeastCost.
func (s *leastCost) SetRateLimits(now time.Time, limits map[string]retry.Rate) {
	s.rateLimits = maps.Clone(limits)
	for _, t := range s.order {
		s.limitRate(t)
	}
	s.dispatch(now)
}

// limitRate applies the limit of the rate in force to t. Permits of an earlier limit
// don't count towards a new one.
func (s *leastCost) limitRate(t *leastCostTarget) {
	rate, limited := s.rateLimits[t.Name]
	switch {
	case !limited:
		t.rate = nil
	case t.rate == nil || t.rate.rate != rate:
		t.rate = &rateLimit{rate, retry.NewBucket(rate.Life())}
	}
}

// AddPermits implements LeastCost.
func (s *leastCost) AddPermits(now time.Time, target string, rate retry.Rate, d retry.Deposit, age time.Duration) bool {
	t := s.targets[target]
	if t == nil || t.rate == nil || t.rate.rate != rate {
		return false
	}
	t.rate.permits.Add(now, d, age)
	s.dispatch(now)
	return true
}

// ClearPermits implements LeastCost.
func (s *leastCost) ClearPermits() {
	for _, t := range s.order {
		if t.rate != nil {
			t.rate.permits.Clear()
		}
	}
}

// permits returns the number of requests that t may be sent now by its rate, or unlimited.
func (t *leastCostTarget) permits(now time.Time, unlimited int) int {
	if t.rate == nil {
		return unlimited
	}
	return t.rate.permits.Left(now)
}

// awaitsPermit reports whether the rate of t allows no request now.
func (t *leastCostTarget) awaitsPermit(now time.Time) bool { return t.permits(now, 1) == 0 }

// busySlots returns the number of slots that work of the given latency can keep busy.
func (t *leastCostTarget) busySlots(latency time.Duration) float64 {
	slots := float64(t.capacity())
	if t.rate == nil {
		return slots
	}
	return min(slots, float64(t.rate.rate.Issued())*latency.Seconds())
}

// limitedTargets names, for an event, the targets that may run a and limit their rate.
func (s *leastCost) limitedTargets(a *leastCostAttempt) string {
	var limited []string
	for _, t := range s.order {
		if t.usable() && a.fits(t) && t.rate != nil && len(limited) < maxNamedTargets {
			limited = append(limited, fmt.Sprintf("%s accepts %g a second", t.Name, float64(t.rate.rate)))
		}
	}
	return strings.Join(limited, ", ")
}

// permitWait returns how long a has to wait for a permit if all targets that may run it
// limit their rate. It reports false if there is a target without a limit.
func (s *leastCost) permitWait(now time.Time, a *leastCostAttempt) (time.Duration, bool) {
	var rate retry.Rate
	available := false
	for _, t := range s.order {
		if !t.usable() || !a.fits(t) {
			continue
		}
		if t.rate == nil {
			return 0, false
		}
		rate += t.rate.rate.Issued()
		available = available || !t.awaitsPermit(now)
	}
	if available || rate == 0 {
		return 0, rate > 0
	}
	return time.Duration(float64(time.Second) / float64(rate)), true
}
