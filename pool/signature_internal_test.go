package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// learnBouts has a signature learn from one target that runs one attempt every
// 100 ms. It fails attempts in bouts of the given kind, and single ones at random by
// an error.
func learnBouts(g *signature, rng *rand.Rand, now time.Time, d time.Duration, kind failureKind) time.Time {
	var h targetHistory
	var changeAt time.Time
	faulty := true
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if !now.Before(changeAt) {
			faulty = !faulty
			mean := 6 * time.Second
			if faulty {
				mean = 2 * time.Second
			}
			changeAt = now.Add(time.Duration(rng.ExpFloat64() * float64(mean)))
		}
		failure := noFailure
		switch {
		case faulty && rng.Float64() < 0.8:
			failure = kind
		case rng.Float64() < 0.012:
			failure = failureError
		}
		g.record(now, &h, endedAttempt{now, failure})
	}
	return now
}

// Targets fail in bouts of one kind, and also now and then by an error. Whatever the
// kind, it must be learned within a minute as what foretells a fault, more so than errors. When the kind changes, that must be learned again.
func TestSignatureLearnsHowTargetsFail(t *testing.T) {
	for seed := range uint64(10) {
		for _, kind := range []failureKind{failureReset, failureHang, failureTruncated, failureUnreachable} {
			var g signature
			rng := rand.New(rand.NewPCG(seed, uint64(kind)))
			now := learnBouts(&g, rng, epoch, 60*time.Second, kind)
			qt.Check(t, g.faulty(kind) >= foretellsFault, qt.IsTrue, qt.Commentf("seed %d, kind %d: %.2f", seed, kind, g.faulty(kind)))
			qt.Check(t, g.faulty(failureError) < g.faulty(kind), qt.IsTrue, qt.Commentf("seed %d, kind %d: %.2f, errors %.2f", seed, kind, g.faulty(kind), g.faulty(failureError)))
			other := failureTruncated
			if kind == failureTruncated {
				other = failureUnreachable
			}
			learnBouts(&g, rng, now, 60*time.Second, other)
			qt.Check(t, g.faulty(other) >= foretellsFault, qt.IsTrue, qt.Commentf("seed %d, kind %d after %d: %.2f", seed, other, kind, g.faulty(other)))
		}
	}
}

// All targets fail the same share of their requests at random. No failure foretells
// the next, so none may make a target suspected for long.
func TestCommonFailuresForetellNothing(t *testing.T) {
	for _, share := range []float64{0.012, 0.1, 0.3} {
		for kind := failureReset; kind < failureKinds; kind++ {
			var g signature
			var h targetHistory
			rng := rand.New(rand.NewPCG(1, uint64(kind)))
			for i := range 2000 {
				now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
				failure := noFailure
				if rng.Float64() < share {
					failure = kind
				}
				g.record(now, &h, endedAttempt{now, failure})
			}
			qt.Check(t, g.faulty(kind) < foretellsFault, qt.IsTrue, qt.Commentf("share %.3f, kind %d: %.2f", share, kind, g.faulty(kind)))
		}
	}
}

// The follow rate of a kind must not depend on the order in which attempts end: an
// attempt that hangs ends long after those that followed it.
func TestFollowersMayEndFirst(t *testing.T) {
	var inOrder, hungLast signature
	hung := endedAttempt{epoch, failureHang}
	follower := endedAttempt{epoch.Add(300 * time.Millisecond), failureReset}
	var h1, h2 targetHistory
	inOrder.record(epoch, &h1, hung)
	inOrder.record(epoch.Add(301*time.Millisecond), &h1, follower)
	hungLast.record(epoch.Add(301*time.Millisecond), &h2, follower)
	hungLast.record(epoch.Add(1500*time.Millisecond), &h2, hung)
	qt.Check(t, inOrder.following[failureHang], qt.Equals, rate{1, 1})
	qt.Check(t, hungLast.following, qt.Equals, inOrder.following)
}

// A service whose targets hang in bouts, and one whose answers have a heavy tail. An
// attempt without an answer must make its target doubtful for bookings in the first
// case at three times the usual latency, and in the second not.
func TestPendingAttemptCountsByWhatIsUsual(t *testing.T) {
	const usual = 200 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	pending := func(tailShare float64, kind failureKind) float64 {
		s, r := leastCostService(3)
		learnBouts(&s.signature, rng, epoch, 60*time.Second, kind)
		s.usualLatency["r"] = usual
		for range 1000 {
			x := 0.5 + rng.Float64()
			if rng.Float64() < tailShare {
				x = 7
			}
			s.tail("r").add(x, 1)
		}
		s.Submit(epoch, unsafeRequest(1, epoch))
		return s.risk(epoch.Add(3*usual), s.targets[r.started[1]])
	}
	qt.Check(t, pending(0.01, failureHang) > unsafeRiskMax, qt.IsTrue)
	qt.Check(t, pending(0.15, failureReset) < unsafeRiskMax, qt.IsTrue)
}

// All targets become slow at once. Attempts without an answer must not make most of
// them doubtful, because the cause is common.
func TestCommonSlownessIsNoEvidence(t *testing.T) {
	s, r := leastCostService(6)
	s.usualLatency["r"] = 200 * time.Millisecond
	for id := RequestID(1); id <= 12; id++ {
		s.Submit(epoch, unsafeRequest(id, epoch))
		qt.Assert(t, r.started[id], qt.Not(qt.Equals), "")
	}
	now := epoch.Add(time.Second)
	s.Tick(now)
	for _, target := range s.order {
		qt.Check(t, s.risk(now, target) < unsafeRiskMax, qt.IsTrue)
	}
}

// Many targets fail their first attempt and are avoided from then on. That shows
// nothing of what follows such a failure, so that it must count as before: a service
// with many broken targets must not be taken for one that fails at random.
func TestFailuresWithoutFollowersKeepTheirPrior(t *testing.T) {
	for kind := failureReset; kind < failureKinds; kind++ {
		var g signature
		before := g.faulty(kind)
		for i := range 60 {
			var h targetHistory
			failure := noFailure
			if i%2 == 0 {
				failure = kind
			}
			g.record(epoch, &h, endedAttempt{epoch, failure})
		}
		after := g.faulty(kind)
		qt.Check(t, after > 0.99*before && after < 1.01*before, qt.IsTrue, qt.Commentf("kind %d: %.3f before, %.3f after", kind, before, after))
	}
}
