package node

import (
	"expvar"
	"sync"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
)

// stats holds a node's counters. Nodes in the same process have separate maps, so
// that their counts don't mix.
type stats struct {
	answers *expvar.Map
	peers   *expvar.Map
	events  *expvar.Map
	// panics counts the panics that ended one connection each.
	panics *expvar.Int
}

// newStats returns counters at zero.
func newStats() *stats {
	return &stats{
		answers: new(expvar.Map).Init(),
		peers:   new(expvar.Map).Init(),
		events:  new(expvar.Map).Init(),
		panics:  new(expvar.Int),
	}
}

var publishOnce sync.Once

// publish publishes the counters with expvar. Only the first node of a process
// publishes its counters.
func (s *stats) publish(control, callers expvar.Func) {
	publishOnce.Do(func() {
		expvar.Publish("answers_by_reason", s.answers)
		expvar.Publish("peer_answers_by_reason", s.peers)
		expvar.Publish("events_by_kind", s.events)
		expvar.Publish("connection_panics", s.panics)
		expvar.Publish("control", control)
		expvar.Publish("caller_memory", callers)
	})
}

// countAnswer counts one answer by its reason.
func (s *stats) countAnswer(o outcome.Outcome, to side) {
	if to == peerSide {
		s.peers.Add(string(o.Reason), 1)
		return
	}
	s.answers.Add(string(o.Reason), 1)
}

// countEvent counts one decision by its kind.
func (s *stats) countEvent(k event.Kind) { s.events.Add(string(k), 1) }
