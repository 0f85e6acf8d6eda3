package pool

import (
	"fmt"
	"math"
	"time"

	"filbertmill.example/event"
)

// lastEnd is the end of an attempt on a target.
type lastEnd struct {
	at     time.Time
	result Result
}

// detail says what a change of belief came from.
func (e lastEnd) detail(now time.Time) string {
	if e.at.IsZero() {
		return "no attempt has ended there"
	}
	return fmt.Sprintf("the latest attempt there ended %s ago: %s after %s", now.Sub(e.at).Round(time.Millisecond),
		e.result.Verdict, e.result.Latency.Round(time.Millisecond))
}

// countLoss takes one more request into the share that was not served.
func (s *steered) countLoss(lost bool) {
	if lost {
		s.lost += lossWeight * (1 - s.lost)
	} else {
		s.lost -= lossWeight * s.lost
	}
}

// learn takes the end of an attempt as evidence.
func (s *steered) learn(now time.Time, a *steeredAttempt, res Result) {
	t := a.target
	t.last = lastEnd{now, res}
	usual := s.latency(a.Route)
	slowness := float64(res.Latency) / float64(usual)
	switch res.Verdict {
	case VerdictCancelled:
		if now.Sub(a.started) > overdue(usual) {
			t.belief.observe(now, overdueRatio)
		}
	case VerdictRefused:
		t.refuse(now)
	case VerdictAnswered:
		t.limit.answered()
		t.slowness += slownessShare * (min(slowness, 2*overdueFactor) - t.slowness)
		s.learnLatency(a.Route, res.Latency)
	}
	if res.Verdict == VerdictReset {
		t.reset = now
	}
	if res.Verdict != VerdictAnswered || !a.started.Before(t.reset) {
		// An attempt that began before the target failed tells nothing of it since.
		t.belief.observe(now, ratioOf(res.Verdict, slowness))
	}
	s.review(now, t)
}

// refuse lowers the limit to the work that t holds, for a moment.
func (t *steeredTarget) refuse(now time.Time) {
	least := max(1, int(math.Ceil(limitShare*float64(t.Slots))))
	t.limit.slots = max(least, min(t.limit.slots, len(t.running)))
	t.limit.raiseAt = now.Add(limitRecovery)
}

func (s *steered) learnLatency(route string, latency time.Duration) {
	old := s.usual[route]
	if old == 0 {
		s.usual[route] = latency
		return
	}
	s.usual[route] = old + time.Duration(learnShare*float64(min(latency, overdueFactor*old)-old))
}

// overdue returns the age at which a running attempt speaks against its target.
func overdue(usual time.Duration) time.Duration { return max(overdueFactor*usual, overdueMin) }

// review moves t between serving and suspected by what is believed of it.
func (s *steered) review(now time.Time, t *steeredTarget) {
	p := t.belief.now(now)
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
		t.belief = belief{faulty: newFaulty, at: now}
		t.slowness = coldSlowness
	}
	s.delegate.Event(event.Event{
		Time: now, Kind: kindOf(from, t.state), Service: s.cfg.Service, Target: t.Name,
		Rule: rule, From: string(from), To: string(t.state),
		Evidence: event.Evidence{Score: t.belief.now(now), Threshold: suspicionBelief, Detail: t.last.detail(now)},
	})
}
