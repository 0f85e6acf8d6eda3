package gateway

import (
	"time"

	"filbertmill.example/gateway/ingress"
	"filbertmill.example/platform"
)

// lateWriteThreshold is how long an answer may wait to be written, or take to be
// written, before that is logged. An answer waits for the answers to earlier
// requests of its connection.
const lateWriteThreshold = 200 * time.Millisecond

// Delivered implements ingress.Observer.
func (n *Node) Delivered(d ingress.Delivery) {
	n.releaseAnswers(d.Request)
	n.stats.deliveries.Add(d.Fate.String(), 1)
	waited := d.WriteBegun.Sub(d.Ready)
	switch {
	case d.Fate != ingress.Answered:
		n.log.Warn("answer not written", append(requestFields(d.Course, d.Ended), "fate", d.Fate.String(), "error", d.Err)...)
	case waited >= lateWriteThreshold || d.Ended.Sub(d.WriteBegun) >= lateWriteThreshold:
		n.log.Info("answer written late", append(requestFields(d.Course, d.Ended), "waited_ms", waited.Milliseconds())...)
	}
}

// ConnectionEnded implements ingress.Observer.
func (n *Node) ConnectionEnded(e ingress.Ending) {
	n.stats.connections.Add(e.End.String(), 1)
	if e.Discarded > 0 {
		n.stats.discardedBytes.Add(e.Discarded)
		n.log.Warn("connection ended with bytes that were not read as a request", "connection", e.Connection, "end", e.End.String(),
			"bytes", e.Discarded, "quiet_ms", e.Quiet.Milliseconds(), "requests", e.Requests)
	}
}

// Panicked implements ingress.Observer.
func (n *Node) Panicked(p ingress.Panic) {
	n.logPanic(p.Value, p.Stack, requestFields(p.Course, time.Now())...)
}

// logUnanswered logs, at the end of the process, each request without an answer,
// with its position on its connection and what it waits for.
func (n *Node) logUnanswered() {
	now := time.Now()
	var first ingress.Course
	for _, c := range n.callers.Unanswered() {
		if c.Connection != first.Connection {
			first = c
		}
		fields := append(requestFields(c, now), "waits_for", waitsFor(c, first))
		if c.Position != first.Position {
			fields = append(fields, "behind", requestID(first))
		}
		n.stats.deliveries.Add(ingress.Unfinished.String(), 1)
		n.log.Warn("request without an answer at the end of the process", fields...)
	}
}

// waitsFor returns what an unanswered request waits for; first is the first
// unanswered request of its connection.
func waitsFor(c, first ingress.Course) string {
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

// requestFields returns the log fields of a request on its connection.
func requestFields(c ingress.Course, now time.Time) []any {
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

// requestID returns the id of a request, or an empty string if the request could
// not be read.
func requestID(c ingress.Course) string {
	if c.Request == nil {
		return ""
	}
	return string(c.Request.Header.Peek(platform.HeaderRequestID))
}
