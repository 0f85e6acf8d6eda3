package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The share of lost requests decides whether doubtful targets are used to keep the
// floor. At a constant share of 4% it must not exceed the limit by chance, however
// busy the service is.
func TestLossShareIsSteadyAtAnyRate(t *testing.T) {
	for _, rate := range []int{100, 400, 1500} {
		rng := rand.New(rand.NewPCG(1, uint64(rate)))
		var l lossShare
		now, above, n := epoch, 0, 60*rate
		for range n {
			now = now.Add(time.Second / time.Duration(rate))
			l.add(now, rng.Float64() < 0.04)
			if l.much(now) {
				above++
			}
		}
		qt.Check(t, above < n/10, qt.IsTrue, qt.Commentf("%d requests a second: above the limit for %d of %d", rate, above, n))
	}
}

// The floor holds at any moment at which a tenth of the requests of the last 2 s was
// lost. The limit must be exceeded before, also if the losses came in a burst at the
// start of these 2 s.
func TestLossShareExceedsItsLimitBeforeTheFloorHolds(t *testing.T) {
	const floorLossShare = 0.1
	for _, rate := range []int{15, 100, 400} {
		rng := rand.New(rand.NewPCG(2, uint64(rate)))
		var l lossShare
		now, share := epoch, 0.0
		var ends, lost []time.Time
		for i := range 60 * rate {
			if i%rate == 0 {
				share = rng.Float64() * 0.3
			}
			now = now.Add(time.Second / time.Duration(rate))
			failed := rng.Float64() < share
			l.add(now, failed)
			ends = append(ends, now)
			if failed {
				lost = append(lost, now)
			}
			from := now.Add(-2 * time.Second)
			if exact := float64(countSince(lost, from)) / float64(countSince(ends, from)); exact > floorLossShare && i > 2*rate {
				qt.Assert(t, l.much(now), qt.IsTrue, qt.Commentf("%d requests a second: %.3f", rate, exact))
			}
		}
	}
}

// The time of day jumps on a host. Only the monotonic clock may decide which requests
// are recent.
func TestLossShareIgnoresTheTimeOfDay(t *testing.T) {
	var l lossShare
	start := time.Now()
	for i := range 100 {
		l.add(start.Add(time.Duration(i)*time.Millisecond), true)
	}
	share, requests := l.at(start.Add(100 * time.Millisecond))
	qt.Check(t, requests, qt.Equals, 100.0+lossPriorRequests)
	qt.Check(t, share > 0.9, qt.IsTrue)
	share, _ = l.at(start.Add(lossWindow + time.Second))
	qt.Check(t, share, qt.Equals, 0.0)
	qt.Check(t, l.partNumber(start.Add(time.Second)), qt.Equals, int64(lossParts+1+lossParts/2))
	qt.Check(t, (&lossShare{}).much(start), qt.IsFalse, qt.Commentf("before the first request"))
}
