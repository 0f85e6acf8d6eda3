package node

import (
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/event"
)

// Emit implements event.Sink. It stores the event for explanations, counts it and
// logs it.
func (n *Node) Emit(e event.Event) {
	e.Node = n.settings.Name
	n.reports.ring.Emit(e)
	n.stats.countEvent(e.Kind)
	n.log.Log(eventLevel(e.Kind), string(e.Kind), eventFields(e)...)
}

// eventLevel returns the level at which events of the kind are logged. Kinds that
// can occur with each request are logged at the level debug.
func eventLevel(k event.Kind) hclog.Level {
	switch k {
	case event.KindRefusal, event.KindRetry, event.KindShed, event.KindFailover:
		return hclog.Debug
	}
	return hclog.Info
}

// eventFields returns the fields of an event's log line. It leaves out fields
// without a value.
func eventFields(e event.Event) []any {
	var fields []any
	add := func(key, value string) {
		if value != "" {
			fields = append(fields, key, value)
		}
	}
	add("service", e.Service)
	add("target", e.Target)
	add("request", e.Request)
	add("rule", e.Rule)
	add("from", e.From)
	add("to", e.To)
	if e.Evidence != (event.Evidence{}) {
		fields = append(fields, "evidence", e.Evidence)
	}
	return fields
}
