package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/event"
	"filbertmill.example/outcome"
	"filbertmill.example/poison"
	"filbertmill.example/pool"
)

// recorder is an environment that records the events.
type recorder struct {
	onceEnvironment
	events []event.Event
}

func (r *recorder) spreadQuarantine(poison.Entry, func()) {}

func (r *recorder) Emit(e event.Event) { r.events = append(r.events, e) }

func (r *recorder) homedServices() []string { return nil }

func (r *recorder) probe(_, _ string, _ endpoint, _ string, _ pool.Origin) {}

// An event on a refusal must name the request by the caller's id, and the node
// must not record a second event on a refusal that the Scheduler recorded.
func TestRefusalCarriesTheCallersID(t *testing.T) {
	env := &recorder{}
	reply := make(chan grant, 1)
	p := &servicePool{
		control: newControlLoop(env, 1),
		service: &dynamic.Service{Name: "larder"},
		waiting: map[pool.RequestID]waiter{7: {reply: reply, request: "van-7"}},
	}
	p.Event(event.Event{Kind: event.KindRefusal, Request: "7", Rule: "queue_full"})
	p.Refuse(7, pool.Refusal{Reason: outcome.ReasonQueueFull})
	qt.Assert(t, env.events, qt.DeepEquals, []event.Event{
		{Kind: event.KindRefusal, Service: "larder", Request: "van-7", Rule: "queue_full"},
	})
	g := <-reply
	qt.Assert(t, g.explained, qt.IsTrue, qt.Commentf("the node does not record it again"))

	p.waiting[8] = waiter{reply: reply, request: "van-8"}
	p.Refuse(8, pool.Refusal{Reason: outcome.ReasonNoTarget})
	g = <-reply
	qt.Assert(t, g.explained, qt.IsFalse)
}
