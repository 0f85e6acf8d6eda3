package pool

import (
	"fmt"
	"math"
	"time"

	"filbertmill.example/event"
)

// attemptEnd is the end of an attempt on a target.
type attemptEnd struct {
	at     time.Time
	result Result
}

// detail describes the attempt behind a change of belief, for the event.
func (e attemptEnd) detail(now time.Time) string {
	if e.at.IsZero() {
		return "no attempt has ended there"
	}
	return fmt.Sprintf("the latest attempt there ended %s ago: %s after %s", now.Sub(e.at).Round(time.Millisecond),
		e.result.Verdict, e.result.Latency.Round(time.Millisecond))
}

// learn updates the beliefs and latencies from the end of an attempt.
func (s *leastCost) learn(now time.Time, a *leastCostAttempt, res Result) {
	t := a.target
	t.lastEnd = attemptEnd{now, res}
	usual := s.latency(a.Route)
	age := now.Sub(a.started)
	failure, known := failureOf(res.Verdict, age > overdueAge(usual))
	if known {
		s.signature.record(now, &t.history, endedAttempt{a.started, failure})
		t.countRelapse(now, a, failure)
	}
	switch res.Verdict {
	case VerdictCancelled:
		t.belief.observe(now, s.pendingRatio(now, a))
		s.learnPending(now, a)
	case VerdictRefused:
		t.lowerLimit(now)
		t.belief.observe(now, ratioRefused)
	case VerdictAnswered:
		s.learnAnswer(now, a, slowness(res.Latency, usual))
		s.learnLatency(a.Route, res.Latency)
		s.learnBytes(a.Route, res.Bytes)
	case VerdictTimeout:
		s.learnPending(now, a)
		s.learnFailure(now, a, failure)
	default:
		s.learnFailure(now, a, failure)
	}
	s.updateSuspicion(now, t)
}

// learnAnswer updates the state of a target by an answer that took x times the usual
// latency. An answer to an attempt that started before the target's latest fault was
// seen is no evidence about the target since then.
func (s *leastCost) learnAnswer(now time.Time, a *leastCostAttempt, x float64) {
	t := a.target
	t.limit.resetPause()
	t.slowness += slownessShare * (min(x, 2*overdueFactor) - t.slowness)
	s.tail(a.Route).add(x, 1)
	switch {
	case a.started.Before(t.faultyAt):
	case x > slowAnswerFactor:
		t.belief.observe(now, ratioSlow)
	default:
		t.belief.observe(now, ratioAnswered)
	}
}

// learnFailure updates the belief about a target by a failure.
func (s *leastCost) learnFailure(now time.Time, a *leastCostAttempt, k failureKind) {
	t := a.target
	t.belief.observe(now, s.signature.ratio(k))
	if s.signature.faulty(k) < foretellsFault {
		return
	}
	// A target that resets a request is faulty now, one that left it unanswered has
	// been since the request arrived.
	shown := now
	if k == failureHang {
		shown = a.started
	}
	t.faultyAt = latest(t.faultyAt, shown)
	t.belief.hold(shown.Add(faultHold))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lowerLimit lowers the limit to the number of attempts that t runs, after a
// refusal. The limit rises again after limitRecovery.
func (t *leastCostTarget) lowerLimit(now time.Time) {
	least := max(1, int(math.Ceil(limitShare*float64(t.Slots))))
	t.limit.slots = max(least, min(t.limit.slots, len(t.running)))
	t.limit.raiseAt = now.Add(limitRecovery)
}

// learnLatency updates the moving average of the route's latency.
func (s *leastCost) learnLatency(route string, latency time.Duration) {
	old := s.usualLatency[route]
	if old == 0 {
		s.usualLatency[route] = latency
		return
	}
	s.usualLatency[route] = old + time.Duration(learnShare*float64(min(latency, overdueFactor*old)-old))
}

// overdueAge returns the age above which a running attempt counts as evidence
// against its target.
func overdueAge(usual time.Duration) time.Duration { return max(overdueFactor*usual, overdueMin) }

// updateSuspicion moves t between serving and suspected by the belief about it.
func (s *leastCost) updateSuspicion(now time.Time, t *leastCostTarget) {
	p := t.belief.probability(now)
	switch {
	case t.state == StateServing && p >= suspicionBelief:
		s.fire(now, t, triggerSuspect, RuleBelief)
	case t.state == StateSuspected && p < clearBelief:
		s.fire(now, t, triggerClear, RuleBelief)
	}
}

// fire moves t by the trigger, if its state permits that, and records the change.
func (s *leastCost) fire(now time.Time, t *leastCostTarget, trig trigger, rule string) {
	if ok, err := t.machine.CanFire(trig); err != nil || !ok {
		return
	}
	from := t.state
	if err := t.machine.Fire(trig); err != nil {
		panic(fmt.Sprintf("pool: target %s: %v", t.Name, err))
	}
	if t.state == StateCold {
		t.belief = belief{faulty: initialFaulty, at: now}
		t.slowness = coldSlowness
	}
	s.delegate.Event(event.Event{
		Time: now, Kind: kindOf(from, t.state), Service: s.cfg.Service, Target: t.Name,
		Rule: rule, From: string(from), To: string(t.state),
		Evidence: event.Evidence{Score: t.belief.probability(now), Threshold: suspicionBelief, Detail: t.lastEnd.detail(now)},
	})
}
