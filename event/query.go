package event

import (
	"slices"
	"time"
)

// Query selects events. An empty field selects all.
type Query struct {
	// Target, Request and Service select events with exactly these values.
	Target  string `json:"target,omitempty" cbor:"1,keyasint,omitempty"`
	Request string `json:"request,omitempty" cbor:"2,keyasint,omitempty"`
	Service string `json:"service,omitempty" cbor:"3,keyasint,omitempty"`
	// Since is the earliest time, inclusive.
	Since time.Time `json:"since,omitzero" cbor:"4,keyasint,omitzero"`
	// Kinds lists the kinds of decision to select.
	Kinds []Kind `json:"kinds,omitempty" cbor:"5,keyasint,omitempty"`
	// Limit is the maximum number of events; the latest are kept. 0 sets no limit.
	Limit int `json:"limit,omitempty" cbor:"6,keyasint,omitempty"`
}

// Match reports whether the query selects the event; it ignores Limit.
func (q Query) Match(e Event) bool {
	switch {
	case q.Target != "" && q.Target != e.Target:
		return false
	case q.Request != "" && q.Request != e.Request:
		return false
	case q.Service != "" && q.Service != e.Service:
		return false
	case e.Time.Before(q.Since):
		return false
	}
	return len(q.Kinds) == 0 || slices.Contains(q.Kinds, e.Kind)
}
