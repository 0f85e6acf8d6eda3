package once_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

// newFleet returns a world of four nodes in which "a" has dispatched key "k"
// as request 1. Its witnesses are "b" and "c".
func newFleet(c *qt.C) (w *world, first once.RequestID) {
	w = newWorld(once.DefaultConfig(), "a", "b", "c", "d")
	c.Cleanup(func() { c.Check(w.faults, qt.HasLen, 0) })
	first = w.submit("a", "k", 1)
	w.settle()
	c.Assert(w.isRunning(first), qt.IsTrue)
	return w, first
}

func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	for _, test := range []struct {
		desc  string
		crash []string
		via   string
	}{
		{"through the same home", nil, "a"},
		{"after the home crashed", []string{"a"}, "b"},
		{"after the home and a witness crashed", []string{"a", "b"}, "b"},
		{"through a node that was no witness", []string{"a"}, "d"},
		{"through a home that still thinks it holds the tenure", nil, "d"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w, first := newFleet(c)
			w.finish(first, ran(1))
			w.settle()
			for _, name := range test.crash {
				w.restart(name)
			}
			repeat := w.submit(test.via, "k", 1)
			w.settle()
			c.Assert(w.answered(repeat), qt.Equals, outcome.ReasonAnswered)
			c.Assert(w.sent[repeat].answer.Answer.Status, qt.Equals, 201)
		})
	}
}

func TestRepeatWaitsForTheFirst(t *testing.T) {
	for _, test := range []struct {
		desc string
		end  once.Result
		want outcome.Reason
	}{
		{"answered", ran(1), outcome.ReasonAnswered},
		{"lost", ended(outcome.ReasonConnectionLost), outcome.ReasonEarlierUnknown},
		{"not run", ended(outcome.ReasonQueueFull), outcome.ReasonQueueFull},
		{"answered at too great length", once.Result{Outcome: ran(1).Outcome}, outcome.ReasonEarlierUnknown},
	} {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w, first := newFleet(c)
			repeat := w.submit("a", "k", 1)
			w.advance(10 * time.Second)
			c.Assert(w.answered(repeat), qt.Equals, outcome.Reason(""))
			w.finish(first, test.end)
			c.Assert(w.answered(repeat), qt.Equals, test.want)
		})
	}
}

func TestRepeatElsewhereWhileTheFirstRunsIsUnknown(t *testing.T) {
	c := qt.New(t)
	w, first := newFleet(c)
	repeat := w.submit("d", "k", 1)
	w.settle()
	c.Assert(w.answered(repeat), qt.Equals, outcome.ReasonEarlierUnknown)
	w.finish(first, ran(1))
}

// TestRequestWithoutAPlaceIsNotClaimed crashes the home while a request waits
// for its place: the next home runs it.
func TestRequestWithoutAPlaceIsNotClaimed(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	w.submit("a", "new", 1)
	repeat := w.submit("a", "new", 1)
	c.Assert(w.nodes["b"].witness.Len(), qt.Equals, 1)
	w.lose(0) // no place
	w.settle()
	c.Assert(w.answered(repeat), qt.Equals, outcome.ReasonQueueFull)

	w.submit("a", "new", 1)
	w.restart("a")
	again := w.submit("d", "new", 1)
	w.settle()
	c.Assert(w.isRunning(again), qt.IsTrue)
}

func TestNextInLineTakesItsTurn(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	first := w.submit("a", "new", 1)
	second := w.submit("a", "new", 1)
	w.cancel(first)
	w.settle()
	c.Assert(w.isRunning(second), qt.IsTrue)
}

func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	c := qt.New(t)
	w, first := newFleet(c)
	running := w.submit("a", "k", 2)
	c.Assert(w.answered(running), qt.Equals, outcome.ReasonKeyReused)
	w.finish(first, ran(1))
	w.settle()
	elsewhere := w.submit("d", "k", 2)
	w.settle()
	c.Assert(w.answered(elsewhere), qt.Equals, outcome.ReasonKeyReused)
}

// TestKeyOfAnUnknownRequestWithAnotherBody asks another home while the first
// request runs: nobody there knows whether the first body was ever sent.
func TestKeyOfAnUnknownRequestWithAnotherBody(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	elsewhere := w.submit("d", "k", 2)
	w.settle()
	c.Assert(w.answered(elsewhere), qt.Equals, outcome.ReasonEarlierUnknown)
}

func TestRequestThatDidNotRunMayBeSentAgain(t *testing.T) {
	c := qt.New(t)
	w, first := newFleet(c)
	w.finish(first, ended(outcome.ReasonNoTarget))
	w.settle()
	again := w.submit("d", "k", 1)
	w.settle()
	c.Assert(w.isRunning(again), qt.IsTrue)
}

func TestClaimOlderThanItsTimeoutIsNotUsed(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	paused := w.submit("a", "new", 1)
	w.deliver(0)                 // it gets its place, and the claim is sent
	w.now = w.now.Add(time.Hour) // the answers of the witnesses wait meanwhile
	w.settle()
	c.Assert(w.isRunning(paused), qt.IsFalse)
}

func TestStoreAway(t *testing.T) {
	for _, test := range []struct {
		desc    string
		away    []string
		running bool
		want    outcome.Reason
	}{
		{"all witnesses there: work goes on", []string{"store"}, true, ""},
		{"a witness away too: nobody can know", []string{"store", "b"}, false, outcome.ReasonEarlierUnknown},
	} {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w, _ := newFleet(c)
			w.advanceWithout(time.Minute, "store")
			id := w.submit("a", "new", 1)
			w.loseFor(test.away...)
			w.advanceWithout(3*time.Second, test.away...)
			c.Assert(w.isRunning(id), qt.Equals, test.running)
			c.Assert(w.answered(id), qt.Equals, test.want)
		})
	}
}

func TestLostWitnessIsReplaced(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	id := w.submit("a", "new", 1)
	w.loseFor("b")
	w.advanceWithout(time.Second, "b")
	c.Assert(w.isRunning(id), qt.IsTrue, qt.Commentf("d takes b's place"))
}

func TestNoWitnessMeansNotRun(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	id := w.submit("a", "new", 1)
	w.loseFor("b", "c", "d")
	w.advanceWithout(3*time.Second, "b", "c", "d")
	c.Assert(w.answered(id), qt.Equals, outcome.ReasonNoClaim)
	c.Assert(w.sent[id].answer.Outcome.Kind, qt.Equals, outcome.NotRun)
}

func TestWitnessesThatStartAgainOneByOneLoseNothing(t *testing.T) {
	c := qt.New(t)
	w, first := newFleet(c)
	w.finish(first, ran(1))
	w.settle()
	for _, name := range []string{"b", "c", "d", "b", "c", "a"} {
		w.restart(name)
		w.advance(3 * time.Second) // the heartbeat finds it
	}
	repeat := w.submit("b", "k", 1)
	w.settle()
	c.Assert(w.answered(repeat), qt.Equals, outcome.ReasonAnswered)
}

func TestMissingWitnessIsFoundLater(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	w.advanceWithout(3*time.Second, "b", "c")
	c.Assert(w.record.Witnesses, qt.DeepEquals, []once.Member{w.nodes["d"].member})
	w.advance(w.cfg.ImproveInterval + time.Second)
	c.Assert(w.record.Witnesses, qt.HasLen, 2)
}

func TestNoCandidatesIsNotAlone(t *testing.T) {
	c := qt.New(t)
	w := newWorld(once.DefaultConfig(), "a", "b")
	w.nodes["a"].home.SetCandidates(nil, false)
	id := w.submit("a", "k", 1)
	w.advance(3 * time.Second)
	c.Assert(w.isRunning(id), qt.IsFalse)
	c.Assert(w.answered(id), qt.Equals, outcome.ReasonNoClaim)
}

func TestLeavingWitnessIsReplacedBeforeItGoes(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	w.nodes["b"].witness.SetLeaving(true)
	w.advance(2 * time.Second)
	c.Assert(w.record.Witnesses, qt.DeepEquals, []once.Member{w.nodes["c"].member, w.nodes["d"].member})
}

func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	cfg := once.DefaultConfig()
	cfg.MaxKeys = 3
	cfg.MaxAnswersBytes = 2
	w := newWorld(cfg, "a", "b", "c")
	var ids []once.RequestID
	for i := range 5 {
		id := w.submit("a", once.Key(fmt.Sprint("k", i)), 1)
		w.settle()
		ids = append(ids, id)
		if w.isRunning(id) {
			w.finish(id, ran(1))
		}
	}
	w.advance(3 * time.Second)
	for i, want := range []outcome.Reason{"answered", "answered", "answered", "no_claim", "no_claim"} {
		c.Assert(w.answered(ids[i]), qt.Equals, want)
	}
	c.Assert(w.nodes["a"].home.Len(), qt.Equals, 3)
	c.Assert(w.nodes["b"].witness.Len(), qt.Equals, 3)

	third := w.submit("a", "k2", 1)
	c.Assert(w.answered(third), qt.Equals, outcome.ReasonEarlierUnknown, qt.Commentf("no room for its answer"))

	w.advance(cfg.Retention)
	id := w.submit("a", "k9", 1)
	w.settle()
	c.Assert(w.isRunning(id), qt.IsTrue, qt.Commentf("expired keys make room"))
}

func TestNodeAloneNeedsNoWitness(t *testing.T) {
	c := qt.New(t)
	w := newWorld(once.DefaultConfig(), "a")
	id := w.submit("a", "k", 1)
	w.settle()
	c.Assert(w.isRunning(id), qt.IsTrue)

	w.restart("a")
	again := w.submit("a", "k", 1)
	w.settle()
	c.Assert(w.answered(again), qt.Equals, outcome.ReasonEarlierUnknown)
}

func TestCallerThatLeaves(t *testing.T) {
	c := qt.New(t)
	w, first := newFleet(c)
	id := w.submit("a", "new", 1)
	repeat := w.submit("a", "new", 1)
	w.cancel(id)
	w.settle()
	c.Assert(w.isRunning(id), qt.IsFalse)
	c.Assert(w.isRunning(repeat), qt.IsTrue, qt.Commentf("those who wait behind it go on"))

	w.nodes["a"].home.Cancel(w.now, w.sent[first].request) // it runs: no effect
	w.finish(first, ran(1))
}
