package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestConcurrentFailuresCountOnce guards against a home that is not polled for many
// seconds because several calls to it were in flight when it was late once. Nodes
// would disagree on the home during that time.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	c := qt.New(t)
	f, register := newIdleFollower(t)
	register("n0", "n1")
	for range 10 {
		f.Suspect("n1")
	}
	c.Check(f.outages["n1"].backoff, qt.Equals, relayBackoffMin)
	f.outages["n1"].retryAt = time.Now()
	for range 10 {
		f.Suspect("n1")
	}
	c.Check(f.outages["n1"].backoff, qt.Equals, 2*relayBackoffMin, qt.Commentf("second failure"))
}
