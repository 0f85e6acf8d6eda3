package pool

import (
	"fmt"
	"time"

	"filbertmill.example/event"
)

// fire moves t by the trigger and records the change. The state machine must
// permit the trigger.
func (h *home) fire(now time.Time, t *target, trig trigger, rule string, ev event.Evidence) {
	from := t.state
	if err := t.machine.Fire(trig); err != nil {
		panic(fmt.Sprintf("pool: target %s: %v", t.Name, err))
	}
	t.stateSince = now
	ev.HealthySlots = h.healthySlots(nil)
	ev.FloorSlots = h.cfg.FloorSlots
	h.delegate.Event(event.Event{
		Time:     now,
		Kind:     kindOf(from, t.state),
		Service:  h.cfg.Service,
		Target:   t.Name,
		Rule:     rule,
		From:     string(from),
		To:       string(t.state),
		Evidence: ev,
	})
}

// kindOf returns the event kind of a change of state.
func kindOf(from, to State) event.Kind {
	switch {
	case to == StateEjected:
		return event.KindEjection
	case to == StateServing && (from == StateProbation || from == StateEjected):
		return event.KindReturn
	default:
		return event.KindTargetState
	}
}

// recordEvent records a decision about t that changes no state.
func (h *home) recordEvent(now time.Time, t *target, kind event.Kind, rule string, ev event.Evidence) {
	ev.HealthySlots = h.healthySlots(nil)
	ev.FloorSlots = h.cfg.FloorSlots
	h.delegate.Event(event.Event{
		Time:     now,
		Kind:     kind,
		Service:  h.cfg.Service,
		Target:   t.Name,
		Rule:     rule,
		From:     string(t.state),
		Evidence: ev,
	})
}

// evidenceOf returns the evidence of an event about a finding.
func evidenceOf(f finding, threshold float64) event.Evidence {
	return event.Evidence{
		Samples:     f.samples,
		Failures:    f.failures,
		Latency:     f.latency,
		PeerLatency: f.peerLatency,
		Score:       f.score,
		Threshold:   threshold,
	}
}
