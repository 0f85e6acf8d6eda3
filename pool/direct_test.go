package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
)

// recorder is a Delegate that records its calls.
type recorder struct {
	started map[RequestID]string
	refused map[RequestID]Refusal
	events  []event.Event
	probes  []Origin
}

func newRecorder() *recorder {
	return &recorder{started: map[RequestID]string{}, refused: map[RequestID]Refusal{}}
}

func (r *recorder) Start(id RequestID, target string)   { r.started[id] = target }
func (r *recorder) Refuse(id RequestID, ref Refusal)    { r.refused[id] = ref }
func (r *recorder) Probe(_ string, origin Origin)       { r.probes = append(r.probes, origin) }
func (r *recorder) Event(e event.Event)                 { r.events = append(r.events, e) }
func (r *recorder) refusal(id RequestID) outcome.Reason { return r.refused[id].Reason }

var epoch = time.Unix(1_700_000_000, 0)

func twoTargets() []Target {
	return []Target{{Name: "t1", Slots: 2, Connections: 330}, {Name: "t2", Slots: 2, Connections: 330}}
}

func TestDirectEjectsAfterConsecutiveErrors(t *testing.T) {
	c := qt.New(t)
	r := newRecorder()
	s := NewDirect(Config{DirectErrors: 2}, r, 1)
	s.SetTargets(epoch, twoTargets()[:1])
	for id := RequestID(1); id <= 2; id++ {
		s.Submit(epoch, Request{ID: id, Deadline: epoch.Add(time.Second)})
		s.Finish(epoch, id, Result{Verdict: VerdictServerError})
	}
	c.Assert(r.events, qt.HasLen, 1)
	c.Assert(r.events[0].Kind, qt.Equals, event.KindEjection)
	c.Assert(s.Snapshot(epoch).Targets[0].State, qt.Equals, string(StateEjected))
	later := epoch.Add(DefaultConfig().DirectEjectionTime)
	c.Assert(s.Snapshot(later).Targets[0].State, qt.Equals, string(StateServing))
}

func TestDirectAvoidsLeavingTargets(t *testing.T) {
	c := qt.New(t)
	r := newRecorder()
	s := NewDirect(Config{}, r, 1)
	targets := twoTargets()
	targets[0].Leaving = true
	s.SetTargets(epoch, targets)
	for id := RequestID(1); id <= 20; id++ {
		s.Submit(epoch, Request{ID: id, Deadline: epoch.Add(time.Second)})
		c.Assert(r.started[id], qt.Equals, "t2")
	}
	s.Submit(epoch, Request{ID: 21, Deadline: epoch.Add(time.Second), Exclude: []string{"t2"}})
	c.Assert(r.refusal(21), qt.Equals, outcome.ReasonNoTarget)
}
