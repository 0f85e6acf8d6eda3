package pool

import (
	"fmt"
	"math"
	"time"

	"filbertmill.example/event"
)

// lastEnd is the end of an attempt on a target.
type attemptEnd struct {
	at     time.Time
	result Result
}

// detail says what a change of belief came from.
func (e attemptEnd) detail(now time.Time) string {
	if e.at.IsZero() {
		return "no attempt has ended there"
	}
	return fmt.Sprintf("the latest attempt there ended %s ago: %s after %s", now.Sub(e.at).Round(time.Millisecond),
		e.result.Verdict, e.result.Latency.Round(time.Millisecond))
}

// countLoss takes one more request into the share that was not served.
func (s *steered) countLoss(lost bool) {
	if lost {
		s.lossShare += lossWeight * (1 - s.lossShare)
	} else {
		s.lossShare -= lossWeight * s.lossShare
	}
}

// learn takes the end of an attempt as evidence.
func (s *steered) learn(now time.Time, a *steeredAttempt, res Result) {
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
		// An attempt that began before the target failed tells nothing of it since.
		t.belief.observe(now, likelihoodRatio(res.Verdict, slowness))
	}
	s.updateSuspicion(now, t)
}

// refuse lowers the limit to the work that t holds, for a moment.
func (t *steeredTarget) lowerLimit(now time.Time) {
	least := max(1, int(math.Ceil(limitShare*float64(t.Slots))))
	t.limit.slots = max(least, min(t.limit.slots, len(t.running)))
	t.limit.raiseAt = now.Add(limitRecovery)
}

func (s *steered) learnLatency(route string, latency time.Duration) {
	old := s.usualLatency[route]
	if old == 0 {
		s.usualLatency[route] = latency
		return
	}
	s.usualLatency[route] = old + time.Duration(learnShare*float64(min(latency, overdueFactor*old)-old))
}

// overdue returns the age at which a running attempt speaks against its target.
func overdueAge(usual time.Duration) time.Duration { return max(overdueFactor*usual, overdueMin) }

// review moves t between serving and suspected by what is believed of it.
func (s *steered) updateSuspicion(now time.Time, t *steeredTarget) {
	p := t.belief.probability(now)
	switch {
	case t.state == StateServing && p >= suspicionBelief:
		s.fire(now, t, triggerSuspect, RuleBelief)
	case t.state == StateSuspected && p < clearBelief:
		s.fire(now, t, triggerClear, RuleBelief)
	}
}

// fire moves t by the trigger, if its state permits it, and records the change.
func (s *steered) fire(now time.Time, t *steeredTarget, trig trigger, rule string) {
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
