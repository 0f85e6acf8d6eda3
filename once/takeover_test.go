package once_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

// crashAll restarts the home and its witnesses, so that there is no copy left.
func crashAll(w *world) {
	for _, name := range []string{"a", "b", "c"} {
		w.restart(name)
	}
}

func TestLostCopyMakesKeysUnknownForTheRetention(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	crashAll(w)
	seen := w.submit("d", "k", 1)
	unseen := w.submit("d", "new", 1)
	w.settle()
	c.Assert(w.answered(seen), qt.Equals, outcome.ReasonEarlierUnknown)
	c.Assert(w.answered(unseen), qt.Equals, outcome.ReasonEarlierUnknown)

	w.advance(time.Minute)
	w.restart("d") // the next home must know too that a copy was lost
	w.advance(30 * time.Minute)
	later := w.submit("a", "k", 1)
	w.settle()
	c.Assert(w.answered(later), qt.Equals, outcome.ReasonEarlierUnknown)

	w.advance(w.cfg.Retention)
	id := w.submit("a", "new", 1)
	w.settle()
	c.Assert(w.isRunning(id), qt.IsTrue)
}

func TestCopyIsNotGivenUpWhileTheOldHomeMayDispatch(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	unreachable := []string{"a", "b", "c"}
	w.submit("d", "new", 1)
	w.advanceWithout(w.cfg.SealTimeout+w.cfg.Retention, unreachable...)
	late := w.submit("d", "new", 1)
	w.advanceWithout(3*time.Second, unreachable...)
	c.Assert(w.answered(late), qt.Equals, outcome.ReasonEarlierUnknown)
	c.Assert(w.isRunning(late), qt.IsFalse)
	c.Assert(w.nodes["d"].home.Phase(), qt.Equals, "sealing")

	again := w.submit("d", "new", 1) // the partition has ended
	w.settle()
	c.Assert(w.isRunning(again), qt.IsTrue)
}

// TestRestartOfAHomeThatOnlyClaimedIsNoProof has a node claim a new epoch and restart before it
// took over. It guards against taking that restart as proof that the home that
// dispatches can no longer do so.
func TestRestartOfAHomeThatOnlyClaimedIsNoProof(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	unreachable := []string{"a", "b", "c"}
	w.submit("d", "new", 1)
	w.advanceWithout(time.Second, unreachable...)
	c.Assert(w.record.Holder, qt.Equals, w.nodes["d"].member)
	w.restart("d")
	w.submit("d", "new", 1)
	w.advanceWithout(2*w.cfg.SealTimeout, unreachable...)
	w.submit("d", "new", 1)
	w.advanceWithout(time.Second, unreachable...)
	c.Assert(w.nodes["d"].home.Phase(), qt.Equals, "sealing")
}

func TestStoreSetBackIsNotTrusted(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	old, version := w.record, w.version
	w.submit("d", "kd", 1)
	w.settle()
	w.record, w.version = old, version
	w.restart("d")
	id := w.submit("d", "kd", 1)
	w.advanceWithout(time.Second, "b") // only c answers, which never recorded kd
	c.Assert(w.isRunning(id), qt.IsFalse)
	c.Assert(w.answered(id), qt.Equals, outcome.ReasonEarlierUnknown)
}

func TestReplacedHomeCannotDispatch(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	w.submit("d", "other", 1)
	w.settle()

	late := w.submit("a", "new", 1) // a does not know that d took over
	w.settleWithout("store")
	w.advanceWithout(3*time.Second, "store")
	c.Assert(w.isRunning(late), qt.IsFalse)
	c.Assert(w.answered(late), qt.Equals, outcome.ReasonHomeLost)
}

// TestAbandonedClaimIsNotUnknown has a home lose its tenure while only one witness has
// recorded a claim. That witness keeps the claim, but the home that made it knows
// that it was abandoned. The test guards against an unknown outcome for such a
// request.
func TestAbandonedClaimIsNotUnknown(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	id := w.submit("a", "new", 1)
	w.deliver(0) // the request is admitted; an intent to each of b and c is in flight
	w.deliver(0) // b records it
	other := w.submit("d", "other", 1)
	w.deliverBetween("d", "b", "store") // d takes over with b's copy
	c.Assert(w.isRunning(other), qt.IsTrue)
	w.settleWithout("b", "c") // the release of the claim is lost too
	w.advance(w.cfg.RetakeDelay)
	c.Assert(w.answered(id), qt.Equals, outcome.ReasonHomeLost, qt.Commentf("d is the home now"))
	result := w.sent[id].answer
	c.Assert(result.Home, qt.Equals, "d")

	withoutClaim := w.submit("d", "new", 1)
	c.Assert(w.answered(withoutClaim), qt.Equals, outcome.ReasonEarlierUnknown)
	resent := w.submitAfter("d", "new", 1, result.AbandonedClaim)
	w.settle()
	c.Assert(w.isRunning(resent), qt.IsTrue, qt.Commentf("%s", w.answered(resent)))
	w.finish(resent, failedResult(outcome.ReasonQueueFull))

	again := w.submit("a", "new", 1)
	w.settle()
	c.Assert(w.isRunning(again), qt.IsTrue, qt.Commentf("%s", w.answered(again)))
}

func TestLeavingHomeDoesNotTakeItsTenureBack(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	w.submit("d", "other", 1)
	w.settle()
	w.nodes["a"].home.SetLeaving(w.now)
	id := w.submit("a", "new", 1)
	w.advance(time.Second)
	c.Assert(w.answered(id), qt.Equals, outcome.ReasonHomeLost)
	c.Assert(w.record.Holder, qt.Equals, w.nodes["d"].member)
}

// TestRefusalByAReplacedHomeIsNoProof has a replaced home refuse admission to a key
// that the new home has run. It guards against answering that the request was not run.
func TestRefusalByAReplacedHomeIsNoProof(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	elsewhere := w.submit("d", "new", 1)
	w.settle()
	c.Assert(w.isRunning(elsewhere), qt.IsTrue)

	late := w.submit("a", "new", 1) // a does not know that d took over
	w.lose(0)                       // the request is not admitted
	w.settle()
	c.Assert(w.answered(late), qt.Equals, outcome.ReasonHomeLost)
	c.Assert(w.sent[late].answer.Home, qt.Equals, "d")
}

func TestCopyHoldsTheNewestAnswers(t *testing.T) {
	c := qt.New(t)
	cfg := once.DefaultConfig()
	cfg.MaxCopyAnswersBytes = 1
	w := newWorld(cfg, "a", "b", "c", "d")
	for _, key := range []once.Key{"old", "new"} {
		id := w.submit("a", key, 1)
		w.settle()
		w.finish(id, answeredResult(1))
		w.advance(time.Second)
	}
	w.restart("b") // b is replaced by a witness that gets a copy
	w.advance(3 * time.Second)
	w.restart("c")
	w.advance(3 * time.Second)
	old := w.submit("d", "old", 1)
	latest := w.submit("d", "new", 1)
	w.settle()
	c.Assert(w.answered(latest), qt.Equals, outcome.ReasonAnswered)
	c.Assert(w.answered(old), qt.Equals, outcome.ReasonEarlierUnknown)
}
