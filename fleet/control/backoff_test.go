package control

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBackoffGrowsToABoundAndForgets(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(0, 0)
	var b Backoff
	qt.Assert(t, b.Wait(now), qt.Equals, time.Duration(0))
	for i := range 100 {
		b.Fail(now, rng)
		limit := backoffMax
		if i < 6 {
			limit = backoffStart << i
		}
		qt.Assert(t, b.Wait(now) >= limit/2, qt.IsTrue)
		qt.Assert(t, b.Wait(now) <= limit, qt.IsTrue)
	}
	b.Succeed()
	qt.Assert(t, b.Wait(now), qt.Equals, time.Duration(0))
}
