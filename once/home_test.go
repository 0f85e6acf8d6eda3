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
		{"through another home, while the first still believes that it holds the tenure", nil, "d"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w, first := newFleet(c)
			w.finish(first, answeredResult(1))
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
		{"answered", answeredResult(1), outcome.ReasonAnswered},
		{"lost", failedResult(outcome.ReasonConnectionLost), outcome.ReasonEarlierUnknown},
		{"not run", failedResult(outcome.ReasonQueueFull), outcome.ReasonQueueFull},
		{"answered, but the answer is too long to keep", once.Result{Outcome: answeredResult(1).Outcome}, outcome.ReasonEarlierUnknown},
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
	w.finish(first, answeredResult(1))
}

// TestRequestThatWaitsForAdmissionIsNotClaimed guards against a claim for a request that
// only waits for admission: after a crash of the home, the next home could not know
// that the request was not run.
func TestRequestThatWaitsForAdmissionIsNotClaimed(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	w.submit("a", "new", 1)
	repeat := w.submit("a", "new", 1)
	c.Assert(w.nodes["b"].witness.Len(), qt.Equals, 1)
	w.lose(0) // the request is not admitted
	w.settle()
	c.Assert(w.answered(repeat), qt.Equals, outcome.ReasonQueueFull)

	w.submit("a", "new", 1)
	w.restart("a")
	again := w.submit("d", "new", 1)
	w.settle()
	c.Assert(w.isRunning(again), qt.IsTrue)
}

func TestFollowerRunsIfTheFirstIsCancelled(t *testing.T) {
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
	w.finish(first, answeredResult(1))
	w.settle()
	elsewhere := w.submit("d", "k", 2)
	w.settle()
	c.Assert(w.answered(elsewhere), qt.Equals, outcome.ReasonKeyReused)
}

// TestKeyOfAnUnknownRequestWithAnotherBody sends the key with another body to another
// home while the first request is running. That home does not know whether the first
// body was ever dispatched, so it must not state that the key was reused.
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
	w.finish(first, failedResult(outcome.ReasonNoTarget))
	w.settle()
	again := w.submit("d", "k", 1)
	w.settle()
	c.Assert(w.isRunning(again), qt.IsTrue)
}

func TestClaimOlderThanItsTimeoutIsNotUsed(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	paused := w.submit("a", "new", 1)
	w.deliver(0)                 // the request is admitted, and the claim is sent
	w.now = w.now.Add(time.Hour) // the process is suspended before the witnesses' answers arrive
	w.settle()
	c.Assert(w.isRunning(paused), qt.IsFalse)
}

func TestStoreUnavailable(t *testing.T) {
	for _, test := range []struct {
		desc    string
		away    []string
		running bool
		want    outcome.Reason
	}{
		{"all witnesses reachable: requests are dispatched", []string{"store"}, true, ""},
		{"a witness unreachable too: the outcome is unknown", []string{"store", "b"}, false, outcome.ReasonEarlierUnknown},
	} {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w, _ := newFleet(c)
			w.advanceWithout(time.Minute, "store")
			id := w.submit("a", "new", 1)
			w.settleWithout(test.away...)
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
	w.settleWithout("b")
	w.advanceWithout(time.Second, "b")
	c.Assert(w.isRunning(id), qt.IsTrue, qt.Commentf("d takes b's place"))
}

func TestNoWitnessMeansNotRun(t *testing.T) {
	c := qt.New(t)
	w, _ := newFleet(c)
	id := w.submit("a", "new", 1)
	w.settleWithout("b", "c", "d")
	w.advanceWithout(3*time.Second, "b", "c", "d")
	c.Assert(w.answered(id), qt.Equals, outcome.ReasonNoClaim)
	c.Assert(w.sent[id].answer.Outcome.Kind, qt.Equals, outcome.NotRun)
}

func TestWitnessesThatStartAgainOneByOneLoseNothing(t *testing.T) {
	c := qt.New(t)
	w, first := newFleet(c)
	w.finish(first, answeredResult(1))
	w.settle()
	for _, name := range []string{"b", "c", "d", "b", "c", "a"} {
		w.restart(name)
		w.advance(3 * time.Second) // a heartbeat detects the restart
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
	w.advance(w.cfg.WitnessSearchInterval + time.Second)
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
			w.finish(id, answeredResult(1))
		}
	}
	w.advance(3 * time.Second)
	for i, want := range []outcome.Reason{"answered", "answered", "answered", "no_claim", "no_claim"} {
		c.Assert(w.answered(ids[i]), qt.Equals, want)
	}
	c.Assert(w.nodes["a"].home.Len(), qt.Equals, 3)
	c.Assert(w.nodes["b"].witness.Len(), qt.Equals, 3)

	third := w.submit("a", "k2", 1)
	c.Assert(w.answered(third), qt.Equals, outcome.ReasonEarlierUnknown, qt.Commentf("there is no room for its answer"))

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
	c.Assert(w.isRunning(repeat), qt.IsTrue, qt.Commentf("a request that waits for the cancelled one is dispatched"))

	w.nodes["a"].home.Cancel(w.now, w.sent[first].request) // it runs: no effect
	w.finish(first, answeredResult(1))
}
