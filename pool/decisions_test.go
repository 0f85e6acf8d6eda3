package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
)

// serve runs n requests one after another, 30 ms apart. Each ends with the verdict
// that the function returns for its target.
func serve(h *home, r *recorder, now time.Time, n int, verdict func(target string) Verdict) time.Time {
	for range n {
		now = now.Add(30 * time.Millisecond)
		h.Tick(now)
		id := RequestID(len(r.started) + 1000)
		h.Submit(now, Request{ID: id, Route: "r", Idempotent: true, Deadline: now.Add(time.Second)})
		target, started := r.started[id]
		if !started {
			h.Cancel(now, id)
			continue
		}
		now = now.Add(10 * time.Millisecond)
		h.Finish(now, id, Result{Verdict: verdict(target), Latency: 10 * time.Millisecond})
	}
	return now
}

func answered(string) Verdict { return VerdictAnswered }

// failing returns the verdicts of a service in which one target fails.
func failing(name string) func(string) Verdict {
	return func(target string) Verdict {
		if target == name {
			return VerdictServerError
		}
		return VerdictAnswered
	}
}

func (r *recorder) last(kind event.Kind) event.Event {
	for i := len(r.events) - 1; i >= 0; i-- {
		if r.events[i].Kind == kind {
			return r.events[i]
		}
	}
	return event.Event{}
}

// ejected returns a home of four targets that has ejected t1 for its failures.
func ejected(c *qt.C, cfg Config) (*home, *recorder, time.Time) {
	r := newRecorder()
	h := NewHome(cfg, r, 1).(*home)
	h.SetTargets(epoch, []Target{{Name: "t1", Slots: 2}, {Name: "t2", Slots: 2}, {Name: "t3", Slots: 2}, {Name: "t4", Slots: 2}})
	now := serve(h, r, epoch, 300, answered)
	for h.targets["t1"].state != StateEjected {
		now = serve(h, r, now, 1, failing("t1"))
	}
	return h, r, now
}

func TestEjectionStatesItsEvidence(t *testing.T) {
	c := qt.New(t)
	_, r, _ := ejected(c, Config{FloorSlots: 4})
	e := r.last(event.KindEjection)
	c.Assert(e.Rule, qt.Equals, RuleFailureRatio)
	c.Assert(e.Target, qt.Equals, "t1")
	c.Assert(e.Evidence.Failures >= failureWeightMin, qt.IsTrue)
	c.Assert(e.Evidence.Score >= e.Evidence.Threshold, qt.IsTrue)
	c.Assert(e.Evidence.HealthySlots, qt.Equals, 6)
}

func TestEjectedTargetReturnsByTrialsAndOneSlot(t *testing.T) {
	c := qt.New(t)
	h, r, now := ejected(c, Config{})
	now = now.Add(DefaultConfig().EjectionTime)
	h.Tick(now)
	h.Observe(now.Add(time.Millisecond), Observation{Target: "t1", Reachable: true})
	h.Tick(now.Add(2 * time.Millisecond))
	c.Assert(h.targets["t1"].state, qt.Equals, StateProbation)
	for h.targets["t1"].state == StateProbation {
		now = serve(h, r, now, 1, answered)
	}
	c.Assert(r.last(event.KindReturn).Rule, qt.Equals, RuleProbationPassed)
	c.Assert(h.targets["t1"].capacity(), qt.Equals, 1)
}

func TestFlappingLengthensEjection(t *testing.T) {
	c := qt.New(t)
	h, _, now := ejected(c, Config{})
	target := h.targets["t1"]
	first := target.ejection.until.Sub(now)
	h.startProbation(now, target)
	h.eject(now, target, RuleProbationFailed, event.Evidence{})
	c.Assert(target.ejection.until.Sub(now), qt.Equals, 2*first)
	faded := now.Add(20 * DefaultConfig().FlapHalfLife)
	h.startProbation(faded, target)
	h.eject(faded, target, RuleProbationFailed, event.Evidence{})
	c.Assert(target.ejection.until.Sub(faded), qt.Equals, first)
}

func TestAbsolveReturnsTarget(t *testing.T) {
	c := qt.New(t)
	h, r, now := ejected(c, Config{})
	h.Absolve(now, "t1", epoch)
	c.Assert(h.targets["t1"].state, qt.Equals, StateServing)
	c.Assert(r.last(event.KindReturn).Rule, qt.Equals, RuleAbsolved)
	c.Assert(h.targets["t1"].ejection.decayedFlaps(now, time.Hour) < 0.01, qt.IsTrue)
}

func TestProbationWithoutIdempotentWorkEndsByProbes(t *testing.T) {
	c := qt.New(t)
	h, r, now := ejected(c, Config{})
	target := h.targets["t1"]
	h.startProbation(now, target)
	now = now.Add(DefaultConfig().ProbationPatience)
	for range 2 * DefaultConfig().ProbationAnswers {
		now = now.Add(probeInterval)
		h.Tick(now)
		h.Observe(now, Observation{Target: "t1", Reachable: true})
	}
	c.Assert(r.last(event.KindReturn).Rule, qt.Equals, RuleProbesOnly)
}

func TestRefusalOfWhatCannotStartInTime(t *testing.T) {
	c := qt.New(t)
	h, r := newTestHome(Config{})
	now := serve(h, r, epoch, 50, func(string) Verdict { return VerdictAnswered })
	for id := RequestID(1); id <= 200; id++ {
		h.Submit(now, Request{ID: id, Route: "r", Deadline: now.Add(100 * time.Millisecond)})
	}
	c.Assert(r.refusal(200), qt.Equals, outcome.ReasonTooLate)
	c.Assert(r.refused[200].RetryAfter >= retryAfterMin, qt.IsTrue)
	e := r.last(event.KindRefusal)
	c.Assert(e.Rule, qt.Equals, RuleTooLate)
	c.Assert(e.Evidence.Queued > 0, qt.IsTrue)
}

func TestCallerShareLeavesRoomForOthers(t *testing.T) {
	c := qt.New(t)
	h, r := newTestHome(Config{QueueLimit: 10})
	submit := func(id RequestID, caller string) {
		h.Submit(epoch, Request{ID: id, Caller: caller, Deadline: epoch.Add(time.Minute)})
	}
	submit(1, "small")
	for id := RequestID(2); id <= 40; id++ {
		submit(id, "greedy")
	}
	c.Assert(r.refusal(40), qt.Equals, outcome.ReasonCallerShare)
	submit(41, "small")
	_, refused := r.refused[41]
	c.Assert(refused, qt.IsFalse)
	h.Finish(epoch, 2, Result{Verdict: VerdictAnswered})
	c.Assert(r.started[41], qt.Not(qt.Equals), "")
}

func TestOwnSignalStopsWorkAndLetsItFinish(t *testing.T) {
	c := qt.New(t)
	h, r := newTestHome(Config{})
	submitN(h, epoch, 1, 4)
	leaving := r.started[1]
	h.Finish(epoch, 1, Result{Verdict: VerdictAnswered, Leaving: true})
	c.Assert(h.targets[leaving].state, qt.Equals, StateDraining)
	submitN(h, epoch, 5, 8)
	for id := RequestID(5); id <= 8; id++ {
		c.Assert(r.started[id], qt.Not(qt.Equals), leaving)
	}
	for id := RequestID(2); id <= 4; id++ {
		h.Finish(epoch, id, Result{Verdict: VerdictAnswered})
	}
	c.Assert(h.targets[leaving].state, qt.Equals, StateGone)
	back := epoch.Add(DefaultConfig().LeavingHold)
	h.Observe(back, Observation{Target: leaving, Reachable: true})
	c.Assert(h.targets[leaving].state, qt.Equals, StateCold)
}

func TestLinkFaultDistinguishedFromTargetFault(t *testing.T) {
	tests := []struct {
		desc  string
		other bool
		rule  string
		flaps float64
	}{
		{"another zone reaches the target", true, RuleLinkFault, 0},
		{"nobody reaches the target", false, RuleConnectionRefused, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			h, r := newTestHome(Config{})
			submitN(h, epoch, 1, 1)
			name := r.started[1]
			h.Finish(epoch, 1, Result{Verdict: VerdictUnreachable})
			c.Assert(r.probes, qt.DeepEquals, []Origin{OriginHome, OriginOtherZone})
			later := epoch.Add(50 * time.Millisecond)
			h.Observe(later, Observation{Target: name, Origin: OriginOtherZone, Reachable: test.other})
			h.Observe(later, Observation{Target: name, Origin: OriginHome})
			c.Assert(r.last(event.KindEjection).Rule, qt.Equals, test.rule)
			c.Assert(h.targets[name].ejection.flaps, qt.Equals, test.flaps)
		})
	}
}

func TestLongWorkIsPackedAndBounded(t *testing.T) {
	c := qt.New(t)
	r := newRecorder()
	h := NewHome(Config{LongShare: 0.5}, r, 1).(*home)
	h.SetTargets(epoch, twoTargets())
	now := serve(h, r, epoch, 100, answered)
	long := h.routeOf("long")
	for range ownMeanMin {
		long.learn(time.Second)
	}
	now = now.Add(time.Minute)
	h.Tick(now)
	for id := RequestID(1); id <= 4; id++ {
		h.Submit(now, Request{ID: id, Route: "long", Deadline: now.Add(time.Minute)})
	}
	c.Assert(r.started[1], qt.Not(qt.Equals), "")
	c.Assert(r.started[2], qt.Equals, r.started[1])
	_, started := r.started[3]
	c.Assert(started, qt.IsFalse)
	h.Submit(now, Request{ID: 5, Route: "r", Deadline: now.Add(time.Second)})
	c.Assert(r.started[5], qt.Not(qt.Equals), r.started[1])
}

func TestCallersAreForgotten(t *testing.T) {
	h, _ := newTestHome(Config{})
	for id := RequestID(1); id <= 100; id++ {
		h.Submit(epoch, Request{ID: id, Caller: string(rune('a' + id)), Deadline: epoch.Add(time.Second)})
		h.Finish(epoch, id, Result{Verdict: VerdictAnswered})
	}
	qt.Assert(t, h.callers.lastSeen, qt.HasLen, 100)
	h.Tick(epoch.Add(2 * callerActive))
	qt.Assert(t, h.callers.lastSeen, qt.HasLen, 0)
	qt.Assert(t, h.callers.running, qt.HasLen, 0)
}
