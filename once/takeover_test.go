package once_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

// crashAll restarts the home and its witnesses, so that no copy is left.
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
	w.restart("d") // what is lost stays known to the next home
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
	cut := []string{"a", "b", "c"}
	w.submit("d", "new", 1)
	w.advanceWithout(w.cfg.SealTimeout+w.cfg.Retention, cut...)
	late := w.submit("d", "new", 1)
	w.advanceWithout(3*time.Second, cut...)
	c.Assert(w.answered(late), qt.Equals, outcome.ReasonEarlierUnknown)
	c.Assert(w.isRunning(late), qt.IsFalse)
	c.Assert(w.nodes["d"].home.Phase(), qt.Equals, "sealing")

	again := w.submit("d", "new", 1) // the cut heals
	w.settle()
	c.Assert(w.isRunning(again), qt.IsTrue)
}

// TestHomeThatOnlyClaimedIsNoProof has a node claim the record and crash
// before it took over. Its restart says nothing of the home that dispatches.
func TestHomeThatOnlyClaimedIsNoProof(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	cut := []string{"a", "b", "c"}
	w.submit("d", "new", 1)
	w.advanceWithout(time.Second, cut...)
	c.Assert(w.record.Holder, qt.Equals, w.nodes["d"].member)
	w.restart("d")
	w.submit("d", "new", 1)
	w.advanceWithout(2*w.cfg.SealTimeout, cut...)
	w.submit("d", "new", 1)
	w.advanceWithout(time.Second, cut...)
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
	w.advanceWithout(time.Second, "b") // only c answers, which never saw kd
	c.Assert(w.isRunning(id), qt.IsFalse)
	c.Assert(w.answered(id), qt.Equals, outcome.ReasonEarlierUnknown)
}

func TestReplacedHomeCannotDispatch(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	w.submit("d", "other", 1)
	w.settle()

	late := w.submit("a", "new", 1) // a has not noticed
	w.loseFor("store")
	w.advanceWithout(3*time.Second, "store")
	c.Assert(w.isRunning(late), qt.IsFalse)
	c.Assert(w.answered(late), qt.Equals, outcome.ReasonHomeLost)
}

// TestClaimGivenUpIsNoMystery has a home lose its tenure while a claim is half
// made. The claim lingers at one witness; its maker knows that it came to nothing.
func TestClaimGivenUpIsNoMystery(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	id := w.submit("a", "new", 1)
	w.deliver(0) // its place; now an intent to each of b and c is under way
	w.deliver(0) // b records it
	other := w.submit("d", "other", 1)
	w.deliverBetween("d", "b", "store") // d takes over, by b's copy
	c.Assert(w.isRunning(other), qt.IsTrue)
	w.loseFor("b", "c") // the withdrawal of the claim too
	w.advance(w.cfg.RetakeDelay)
	c.Assert(w.answered(id), qt.Equals, outcome.ReasonHomeLost, qt.Commentf("d is the home now"))
	result := w.sent[id].answer
	c.Assert(result.Home, qt.Equals, "d")

	blind := w.submit("d", "new", 1)
	c.Assert(w.answered(blind), qt.Equals, outcome.ReasonEarlierUnknown)
	told := w.submitAfter("d", "new", 1, result.AbandonedClaim)
	w.settle()
	c.Assert(w.isRunning(told), qt.IsTrue, qt.Commentf("%s", w.answered(told)))
	w.finish(told, ended(outcome.ReasonQueueFull))

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

// TestRefusalByAReplacedHomeIsNoProof has a home that was replaced find no
// place for a key that the new home has run.
func TestRefusalByAReplacedHomeIsNoProof(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	elsewhere := w.submit("d", "new", 1)
	w.settle()
	c.Assert(w.isRunning(elsewhere), qt.IsTrue)

	late := w.submit("a", "new", 1) // a has not noticed
	w.lose(0)                       // no place
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
		w.finish(id, ran(1))
		w.advance(time.Second)
	}
	w.restart("b") // its place is filled from a copy
	w.advance(3 * time.Second)
	w.restart("c")
	w.advance(3 * time.Second)
	old := w.submit("d", "old", 1)
	latest := w.submit("d", "new", 1)
	w.settle()
	c.Assert(w.answered(latest), qt.Equals, outcome.ReasonAnswered)
	c.Assert(w.answered(old), qt.Equals, outcome.ReasonEarlierUnknown)
}
