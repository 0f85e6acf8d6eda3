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

// countLoss updates the moving share of lost requests with one request.
func (s *leastCost) countLoss(lost bool) {
	if lost {
		s.lossShare += lossWeight * (1 - s.lossShare)
	} else {
		s.lossShare -= lossWeight * s.lossShare
	}
}

// learn updates the beliefs and latencies from the end of an attempt.
func (s *leastCost) learn(now time.Time, a *leastCostAttempt, res Result) {
	t := a.target
	t.lastEnd = attemptEnd{now, res}
	usual := s.latency(a.Route)
	slowness := float64(res.Latency) / float64(usual)
	switch res.Verdict {
	case VerdictCancelled:
		if now.Sub(a.started) > overdueAge(usual) {
			t.belief.observe(now, overdueRatio)
		}
	case VerdictRefused:
		t.lowerLimit(now)
	case VerdictAnswered:
		t.limit.resetPause()
		t.slowness += slownessShare * (min(slowness, 2*overdueFactor) - t.slowness)
		s.learnLatency(a.Route, res.Latency)
	}
	if res.Verdict == VerdictReset {
		t.lastReset = now
	}
	if res.Verdict != VerdictAnswered || !a.started.Before(t.lastReset) {
		// An answer to an attempt that started before the target's last reset is no
		// evidence about the target since then.
		t.belief.observe(now, likelihoodRatio(res.Verdict, slowness))
	}
	s.updateSuspicion(now, t)
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
