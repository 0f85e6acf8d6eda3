package gateway

import (
	"time"

	"filbertmill.example/gateway/ingress"
	"filbertmill.example/platform"
)

// lateWrite is how long an answer may wait for its writing before a line tells
// of it; answers wait for those to earlier requests of their connection.
const lateWrite = 200 * time.Millisecond

// RequestEnded implements ingress.Observer.
func (n *Node) RequestEnded(d ingress.RequestEnd) {
	n.letGo(d.Request)
	n.stats.deliveries.Add(d.Fate.String(), 1)
	waited := d.WriteBegun.Sub(d.Ready)
	switch {
	case d.Fate != ingress.Answered:
		n.log.Warn("answer not written", append(courseFields(d.RequestRecord, d.Ended), "fate", d.Fate.String(), "error", d.Err)...)
	case waited >= lateWrite || d.Ended.Sub(d.WriteBegun) >= lateWrite:
		n.log.Info("answer written late", append(courseFields(d.RequestRecord, d.Ended), "waited_ms", waited.Milliseconds())...)
	}
}

// ConnectionEnded implements ingress.Observer.
func (n *Node) ConnectionEnded(e ingress.ConnectionEnd) {
	n.stats.connections.Add(e.End.String(), 1)
	if e.Discarded > 0 {
		n.stats.discarded.Add(e.Discarded)
		n.log.Warn("connection ended with bytes that were not read as a request", "connection", e.Connection, "end", e.End.String(),
			"bytes", e.Discarded, "quiet_ms", e.SinceLastByte.Milliseconds(), "requests", e.Requests)
	}
}

// Panicked implements ingress.Observer.
func (n *Node) Panicked(p ingress.Panic) {
	n.caught(p.Value, p.Stack, courseFields(p.RequestRecord, time.Now())...)
}

// logUnfinished tells, at the end of the process, of each request without an
// answer: where it stands on its connection and what it waits for.
func (n *Node) logUnfinished() {
	now := time.Now()
	var first ingress.RequestRecord
	for _, c := range n.callers.Unanswered() {
		if c.Connection != first.Connection {
			first = c
		}
		fields := append(courseFields(c, now), "waits_for", waitsFor(c, first))
		if c.Position != first.Position {
			fields = append(fields, "behind", requestID(first))
		}
		n.stats.deliveries.Add(ingress.Unfinished.String(), 1)
		n.log.Warn("request without an answer at the end of the process", fields...)
	}
}

// waitsFor says what an unanswered request waits for; first is the first of its connection.
func waitsFor(c, first ingress.RequestRecord) string {
	switch {
	case c.Ready.IsZero():
		return "outcome"
	case !c.WriteBegun.IsZero():
		return "caller"
	case c.Position != first.Position:
		return "earlier_answer"
	}
	return "writer"
}

// courseFields returns the log fields of a request on its connection.
func courseFields(c ingress.RequestRecord, now time.Time) []any {
	fields := []any{
		"request", requestID(c), "connection", c.Connection, "position", c.Position,
		"since_read_ms", now.Sub(c.Received).Milliseconds(),
	}
	if !c.Ready.IsZero() {
		fields = append(fields, "since_ready_ms", now.Sub(c.Ready).Milliseconds())
	}
	if !c.WriteBegun.IsZero() {
		fields = append(fields, "since_write_ms", now.Sub(c.WriteBegun).Milliseconds())
	}
	return fields
}

// requestID returns the id of a request; empty if it could not be read.
func requestID(c ingress.RequestRecord) string {
	if c.Request == nil {
		return ""
	}
	return string(c.Request.Header.Peek(platform.HeaderRequestID))
}
