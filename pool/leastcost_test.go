package pool

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
)

// leastCostService returns a LeastCost scheduler of n targets with two slots each.
func leastCostService(n int) (*leastCost, *recorder) {
	r := newRecorder()
	s := NewLeastCost(Config{Service: "s"}, r, 1).(*leastCost)
	var targets []Target
	for i := range n {
		targets = append(targets, Target{Name: string(rune('a' + i)), Slots: 2})
	}
	s.SetTargets(epoch, targets)
	return s, r
}

// unsafeRequest returns a request that must not be retried, safeRequest one that may.
func unsafeRequest(id RequestID, now time.Time) Request {
	return Request{ID: id, Route: "r", Deadline: now.Add(1500 * time.Millisecond), SoftDeadline: now.Add(600 * time.Millisecond)}
}

func safeRequest(id RequestID, now time.Time) Request {
	r := unsafeRequest(id, now)
	r.Idempotent = true
	return r
}

// A target in a gray failure resets most of its requests while its health checks
// pass. One reset must keep requests that may not be retried away from it.
func TestOneResetDivertsUnsafeWork(t *testing.T) {
	s, r := leastCostService(3)
	now := epoch
	id := RequestID(0)
	failed := ""
	for range 40 {
		id++
		now = now.Add(30 * time.Millisecond)
		s.Submit(now, unsafeRequest(id, now))
		target := r.started[id]
		qt.Assert(t, target, qt.Not(qt.Equals), "")
		if failed == "" {
			failed = target
			s.Finish(now, id, Result{Verdict: VerdictReset, Latency: 2 * time.Millisecond})
			continue
		}
		qt.Assert(t, target, qt.Not(qt.Equals), failed, qt.Commentf("request %d", id))
		s.Finish(now.Add(10*time.Millisecond), id, Result{Verdict: VerdictAnswered, Latency: 10 * time.Millisecond})
	}
	e := r.last(event.KindTargetState)
	qt.Check(t, e.Target, qt.Equals, failed)
	qt.Check(t, e.To, qt.Equals, string(StateSuspected))
}

// All slots of the trusted target are busy. A request that may not be retried must
// wait as long as it has time, and only then go to the doubtful target.
func TestUnsafeWorkWaitsForATrustedTarget(t *testing.T) {
	s, r := leastCostService(2)
	now := epoch
	s.targets["b"].belief = belief{faulty: 0.6, at: now}
	for id := RequestID(1); id <= 2; id++ {
		s.Submit(now, unsafeRequest(id, now))
		qt.Assert(t, r.started[id], qt.Equals, "a")
	}
	s.Submit(now, unsafeRequest(3, now))
	_, started := r.started[3]
	qt.Check(t, started, qt.IsFalse)
	s.Tick(now.Add(400 * time.Millisecond))
	qt.Check(t, r.started[3], qt.Equals, "b", qt.Commentf("its time to wait is over"))
}

// Most targets have just failed at a load peak. A request that may not be retried
// must wait for the few others, even beyond its soft deadline, and not be lost on a
// target where everything fails.
func TestUnsafeWorkWaitsOutALikelyFailure(t *testing.T) {
	s, r := leastCostService(2)
	now := epoch
	s.usualLatency["r"] = 140 * time.Millisecond
	faulty := "b"
	s.targets[faulty].belief = belief{faulty: 0.95, at: now}
	s.Submit(now, unsafeRequest(1, now))
	s.Submit(now, unsafeRequest(2, now))
	s.Submit(now, unsafeRequest(3, now))
	for ms := 100; ms < 400; ms += 100 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		s.targets[faulty].belief = belief{faulty: 0.95, at: at}
		s.Tick(at)
		qt.Assert(t, r.started[3], qt.Equals, "", qt.Commentf("after %d ms", ms))
	}
	s.Finish(now.Add(400*time.Millisecond), 1, Result{Verdict: VerdictAnswered, Latency: 400 * time.Millisecond})
	qt.Check(t, r.started[3], qt.Equals, r.started[1])
}

// A target that runs several requests turns gray: it resets new ones and still
// answers those that it had begun. Such answers must not raise the trust in it.
func TestAnswersStartedBeforeAFailureAreIgnored(t *testing.T) {
	s, r := leastCostService(2)
	now := epoch
	for id := RequestID(1); id <= 4; id++ {
		s.Submit(now, unsafeRequest(id, now))
	}
	gray := r.started[1]
	var held []RequestID
	for id := RequestID(1); id <= 4; id++ {
		if r.started[id] == gray {
			held = append(held, id)
		}
	}
	qt.Assert(t, held, qt.HasLen, 2)
	now = now.Add(20 * time.Millisecond)
	s.Finish(now, held[0], Result{Verdict: VerdictReset, Latency: 20 * time.Millisecond})
	believed := s.targets[gray].belief.probability(now)
	now = now.Add(100 * time.Millisecond)
	s.Finish(now, held[1], Result{Verdict: VerdictAnswered, Latency: 120 * time.Millisecond})
	qt.Check(t, s.targets[gray].belief.probability(now), qt.Equals, believed)
	now = now.Add(time.Second)
	s.targets[gray].belief.observe(now, ratioAnswered)
	qt.Check(t, s.targets[gray].belief.probability(now) < believed, qt.IsTrue)
}

func TestBeliefFallsWithTimeAndAnswers(t *testing.T) {
	b := belief{faulty: beliefMax, at: epoch}
	qt.Check(t, b.probability(epoch.Add(time.Second)) > suspicionBelief, qt.IsTrue)
	qt.Check(t, b.probability(epoch.Add(15*time.Second)) < clearBelief, qt.IsTrue)
	b.observe(epoch.Add(5*time.Second), ratioAnswered)
	b.observe(epoch.Add(5*time.Second), ratioAnswered)
	qt.Check(t, b.probability(epoch.Add(5*time.Second)) < clearBelief, qt.IsTrue)
}

// A load peak of three times the capacity: no request whose answer could come in time
// may be refused, and refusals must come immediately and state when the queue will
// have drained.
func TestLoadPeakRefusesOnlyWhatCannotEnd(t *testing.T) {
	s, r := leastCostService(2)
	s.usualLatency["r"] = 200 * time.Millisecond
	for id := RequestID(1); id <= 60; id++ {
		s.Submit(epoch, safeRequest(id, epoch))
	}
	qt.Check(t, r.started, qt.HasLen, 4)
	// Four slots finish 20 requests per second. The deadline leaves time for 26 to start
	// behind the first four.
	qt.Check(t, len(s.waiting), qt.Equals, 27)
	qt.Check(t, r.refused, qt.HasLen, 60-4-27)
	for _, refusal := range r.refused {
		qt.Check(t, refusal.Reason, qt.Equals, outcome.ReasonTooLate)
		qt.Check(t, refusal.RetryAfter > 0, qt.IsTrue)
	}
}

// A lasting overload: requests that can no longer meet their soft deadline go behind
// all that arrive. They must be refused soon and not be held until their deadline.
func TestLateWorkIsNotHeldAtAnOverload(t *testing.T) {
	const usual, interval = 200 * time.Millisecond, 25 * time.Millisecond
	s, r := leastCostService(2)
	s.usualLatency["r"] = usual
	submitted := make(map[RequestID]time.Time)
	ends := make(map[RequestID]time.Time)
	refusedAt := make(map[RequestID]time.Time)
	seen := make(map[RequestID]bool)
	for ms := 0; ms < 6000; ms += 5 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if ms < 5000 && ms%int(interval.Milliseconds()) == 0 {
			id := RequestID(ms + 1)
			submitted[id] = now
			s.Submit(now, unsafeRequest(id, now))
		}
		for id, end := range ends {
			if !end.After(now) {
				delete(ends, id)
				s.Finish(now, id, Result{Verdict: VerdictAnswered, Latency: usual})
			}
		}
		s.Tick(now)
		for id := range r.started {
			if !seen[id] {
				seen[id], ends[id] = true, now.Add(usual)
			}
		}
		for id := range r.refused {
			if _, known := refusedAt[id]; !known {
				refusedAt[id] = now
			}
		}
	}
	// Four slots answer 20 requests per second, half of the arrivals.
	qt.Check(t, len(r.started) >= 100, qt.IsTrue, qt.Commentf("%d started", len(r.started)))
	held := 0
	for id, at := range refusedAt {
		// A request is late 400 ms after its arrival.
		if at.Sub(submitted[id]) > 600*time.Millisecond {
			held++
		}
	}
	qt.Check(t, held <= len(refusedAt)/20, qt.IsTrue, qt.Commentf("%d of %d refused were held", held, len(refusedAt)))
}

// Requests that missed their latency objective must wait behind those that can still
// meet it, and the priority must count before both.
func TestQueueServesWhatIsStillDue(t *testing.T) {
	s, r := leastCostService(1)
	s.usualLatency["r"] = 100 * time.Millisecond
	now := epoch
	s.Submit(now, unsafeRequest(1, now))
	s.Submit(now, unsafeRequest(2, now))
	late := unsafeRequest(3, now)
	late.SoftDeadline = now.Add(50 * time.Millisecond)
	due := unsafeRequest(4, now)
	urgent := unsafeRequest(5, now)
	urgent.SoftDeadline = late.SoftDeadline
	late.Priority, due.Priority = 1, 1
	for _, q := range []Request{late, due, urgent} {
		s.Submit(now, q)
	}
	var order []RequestID
	for _, a := range s.waiting {
		order = append(order, a.ID)
	}
	s.sortWaiting(now)
	order = order[:0]
	for _, a := range s.waiting {
		order = append(order, a.ID)
	}
	qt.Check(t, order, qt.DeepEquals, []RequestID{5, 4, 3})
	qt.Check(t, r.started, qt.HasLen, 2)
}

// A node has a connection to a target of another availability zone that runs a request
// already. It must be used rather than a new one to an idle target of the node's zone:
// targets that are equally sound must not cost a connection for most requests.
func TestOpenConnectionIsUsedAmongSoundTargets(t *testing.T) {
	r := newRecorder()
	s := NewLeastCost(Config{Service: "s"}, r, 1).(*leastCost)
	s.usualLatency["r"] = 200 * time.Millisecond
	s.SetTargets(epoch, []Target{{Name: "a", Slots: 2, AvailabilityZone: "far"}, {Name: "b", Slots: 2, AvailabilityZone: "near"}})
	for _, target := range s.targets {
		target.lastUsed = epoch
	}
	for id := RequestID(1); id <= 2; id++ {
		q := unsafeRequest(id, epoch)
		q.Prefer, q.AvailabilityZone = []string{"a"}, "near"
		s.Submit(epoch, q)
	}
	qt.Check(t, r.started, qt.DeepEquals, map[RequestID]string{1: "a", 2: "a"})
}

func TestLeavingTargetGetsNoMoreWork(t *testing.T) {
	s, r := leastCostService(2)
	s.SetTargets(epoch, []Target{{Name: "a", Slots: 2, Leaving: true}, {Name: "b", Slots: 2}})
	for id := RequestID(1); id <= 3; id++ {
		s.Submit(epoch, safeRequest(id, epoch))
	}
	qt.Check(t, r.started, qt.DeepEquals, map[RequestID]string{1: "b", 2: "b"})
	s.SetTargets(epoch, nil)
	s.Finish(epoch, 1, Result{Verdict: VerdictAnswered, Latency: time.Millisecond})
	s.Finish(epoch, 2, Result{Verdict: VerdictAnswered, Latency: time.Millisecond})
	qt.Check(t, s.Snapshot(epoch).Targets, qt.HasLen, 0)
}

func TestAvoidedAndExcludedTargets(t *testing.T) {
	s, r := leastCostService(2)
	avoid := unsafeRequest(1, epoch)
	avoid.Avoid = []string{"a"}
	s.Submit(epoch, avoid)
	qt.Check(t, r.started[1], qt.Equals, "b")
	none := unsafeRequest(2, epoch)
	none.Exclude = []string{"a", "b"}
	s.Submit(epoch, none)
	qt.Check(t, r.refused[2].Reason, qt.Equals, outcome.ReasonNoTarget)
}

// A request is excluded from all targets while others wait. The advised wait must be
// that of the queue.
func TestWaitOfARequestThatNoTargetMayTake(t *testing.T) {
	s, r := leastCostService(2)
	s.usualLatency["r"] = 200 * time.Millisecond
	for id := RequestID(1); id <= 30; id++ {
		q := safeRequest(id, epoch)
		q.Deadline = epoch.Add(time.Minute)
		s.Submit(epoch, q)
	}
	none := unsafeRequest(31, epoch)
	none.Exclude = []string{"a", "b"}
	s.Submit(epoch, none)
	// Four slots finish 26 waiting requests in 1.3 s.
	qt.Check(t, r.refused[31].RetryAfter, qt.Equals, 1300*time.Millisecond)
}

// Waiting attempts that each avoid a different target, as happens while links are
// partitioned, must not all search all targets in every round.
func TestCostOfARoundDoesNotGrowWithTheQueue(t *testing.T) {
	const targets, rounds, repeats = 100, 300, 5
	timeOf := func(waiting int) time.Duration {
		s := NewLeastCost(Config{Service: "s", QueueLimit: 1000}, newRecorder(), 1).(*leastCost)
		var list []Target
		for i := range targets {
			list = append(list, Target{Name: fmt.Sprintf("t%03d", i), Slots: 2})
		}
		s.SetTargets(epoch, list)
		busy := s.targets["t000"]
		for _, target := range s.targets {
			if target != busy {
				target.belief = belief{faulty: 0.9, at: epoch, holdUntil: epoch.Add(time.Hour)}
			}
		}
		submit := func(id RequestID) {
			q := unsafeRequest(id, epoch)
			q.Deadline, q.SoftDeadline = epoch.Add(time.Hour), epoch.Add(time.Hour)
			q.Avoid = []string{fmt.Sprintf("t%03d", 1+int(id)%(targets-1))}
			s.Submit(epoch, q)
		}
		for id := RequestID(1); id <= RequestID(waiting+2); id++ {
			submit(id)
		}
		qt.Assert(t, s.Queued(), qt.Equals, waiting)
		best := time.Hour
		for range repeats {
			start := time.Now()
			for range rounds {
				s.dispatch(epoch)
			}
			best = min(best, time.Since(start))
		}
		return best
	}
	few, many := timeOf(maxMisses), timeOf(20*maxMisses)
	qt.Check(t, many < 5*few, qt.IsTrue, qt.Commentf("%s with %d waiting, %s with %d", many/rounds, 20*maxMisses, few/rounds, maxMisses))
}

// Attempts at the head of the queue avoid the only free trusted target. An attempt
// behind them that may use it must start.
func TestAttemptBehindRestrictedAttemptsStarts(t *testing.T) {
	s, r := leastCostService(3)
	for _, name := range []string{"a", "b"} {
		s.targets[name].belief = belief{faulty: 0.9, at: epoch, holdUntil: epoch.Add(time.Hour)}
	}
	s.SetTargets(epoch, []Target{{Name: "a", Slots: 2}, {Name: "b", Slots: 2}, {Name: "c", Slots: 2}, {Name: "d", Slots: 1}})
	s.Submit(epoch, unsafeRequest(1, epoch)) // keeps d or c busy, for which others wait
	s.Submit(epoch, unsafeRequest(2, epoch))
	id := RequestID(3)
	submit := func(avoid ...string) {
		q := unsafeRequest(id, epoch)
		q.Deadline, q.SoftDeadline, q.Avoid = epoch.Add(time.Minute), epoch.Add(time.Minute), avoid
		s.Submit(epoch, q)
	}
	for range 2 * maxMisses {
		submit("c", "d")
		id++
	}
	qt.Assert(t, s.Queued(), qt.Equals, 2*maxMisses)
	submit()
	qt.Check(t, r.started[id], qt.Not(qt.Equals), "")
}

// BenchmarkLeastCostLoadPeak submits and finishes attempts behind a long queue. The
// cost of one must not grow with the queue length times the number of targets.
func BenchmarkLeastCostLoadPeak(b *testing.B) {
	for _, targets := range []int{8, 132} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r := newRecorder()
			s := NewLeastCost(Config{Service: "s"}, r, 1).(*leastCost)
			var list []Target
			for i := range targets {
				list = append(list, Target{Name: fmt.Sprintf("t%03d", i), Slots: 2})
			}
			s.SetTargets(epoch, list)
			now, id := epoch, RequestID(0)
			submit := func() {
				id++
				q := safeRequest(id, now)
				q.Deadline = now.Add(time.Hour)
				s.Submit(now, q)
			}
			for range 2*targets + 1000 {
				submit()
			}
			first := RequestID(0)
			b.ResetTimer()
			for b.Loop() {
				submit()
				for first++; s.running[first] == nil; first++ {
				}
				s.Finish(now, first, Result{Verdict: VerdictAnswered, Latency: time.Millisecond})
			}
		})
	}
}

// Few targets could carry the load, and some targets fail at first. At any moment at
// least 0.7 of the sound targets must have been used within 2 s, so that a power
// failure finds them in use.
func TestMostSoundTargetsAreInUse(t *testing.T) {
	for _, safe := range []bool{false, true} {
		t.Run(fmt.Sprintf("safe=%v", safe), func(t *testing.T) {
			const targets, floorShare, floorWindow = 20, 0.7, 2 * time.Second
			s, r := leastCostService(targets)
			failing := map[string]bool{"a": true, "b": true, "c": true, "d": true, "e": true}
			used := make(map[string]time.Time)
			for id := RequestID(1); id <= 800; id++ {
				now := epoch.Add(time.Duration(id) * 25 * time.Millisecond)
				q := unsafeRequest(id, now)
				q.Idempotent = safe
				// There are open connections to a few targets only.
				q.Prefer = []string{"a", "f", "g"}
				s.Submit(now, q)
				name := r.started[id]
				qt.Assert(t, name, qt.Not(qt.Equals), "")
				used[name] = now
				res := Result{Verdict: VerdictAnswered, Latency: 20 * time.Millisecond}
				if failing[name] && now.Before(epoch.Add(3*time.Second)) {
					res = Result{Verdict: VerdictReset, Latency: time.Millisecond}
				}
				s.Finish(now.Add(res.Latency), id, res)
				if now.Before(epoch.Add(12 * time.Second)) {
					continue
				}
				inUse := 0
				for _, at := range used {
					if now.Sub(at) <= floorWindow {
						inUse++
					}
				}
				qt.Assert(t, float64(inUse) >= floorShare*targets, qt.IsTrue, qt.Commentf("request %d: %d of %d in use", id, inUse, targets))
			}
		})
	}
}
