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

// RequestEnded implements ingress.Observer.
func (n *Node) RequestEnded(d ingress.RequestEnd) {
	n.releaseAnswers(d.Request)
	n.stats.deliveries.Add(d.Fate.String(), 1)
	waited := d.WriteBegun.Sub(d.Ready)
	switch {
	case d.Fate != ingress.Answered:
		n.log.Warn("answer not written", append(requestFields(d.RequestRecord, d.Ended), "fate", d.Fate.String(), "error", d.Err)...)
	case waited >= lateWriteThreshold || d.Ended.Sub(d.WriteBegun) >= lateWriteThreshold:
		n.log.Info("answer written late", append(requestFields(d.RequestRecord, d.Ended), "waited_ms", waited.Milliseconds())...)
	}
}

// ConnectionEnded implements ingress.Observer.
func (n *Node) ConnectionEnded(e ingress.ConnectionEnd) {
	n.stats.connections.Add(e.End.String(), 1)
	if e.Discarded > 0 {
		n.stats.discardedBytes.Add(e.Discarded)
		n.log.Warn("connection ended with bytes that were not read as a request", "connection", e.Connection, "end", e.End.String(),
			"bytes", e.Discarded, "quiet_ms", e.SinceLastByte.Milliseconds(), "requests", e.Requests)
	}
}

// Panicked implements ingress.Observer.
func (n *Node) Panicked(p ingress.Panic) {
	n.logPanic(p.Value, p.Stack, requestFields(p.RequestRecord, time.Now())...)
}

// logUnanswered logs, at the end of the process, each request without an answer,
// with its position on its connection and what it waits for.
func (n *Node) logUnanswered() {
	now := time.Now()
	var first ingress.RequestRecord
	for _, r := range n.callers.Unanswered() {
		if r.Connection != first.Connection {
			first = r
		}
		fields := append(requestFields(r, now), "waits_for", waitsFor(r, first))
		if r.Position != first.Position {
			fields = append(fields, "behind", requestID(first))
		}
		n.stats.deliveries.Add(ingress.Unfinished.String(), 1)
		n.log.Warn("request without an answer at the end of the process", fields...)
	}
}

// waitsFor returns what an unanswered request waits for; first is the first
// unanswered request of its connection.
func waitsFor(r, first ingress.RequestRecord) string {
	switch {
	case r.Ready.IsZero():
		return "outcome"
	case !r.WriteBegun.IsZero():
		return "caller"
	case r.Position != first.Position:
		return "earlier_answer"
	}
	return "writer"
}

// requestFields returns the log fields of a request on its connection.
func requestFields(r ingress.RequestRecord, now time.Time) []any {
	fields := []any{
		"request", requestID(r), "connection", r.Connection, "position", r.Position,
		"since_read_ms", now.Sub(r.Received).Milliseconds(),
	}
	if !r.Ready.IsZero() {
		fields = append(fields, "since_ready_ms", now.Sub(r.Ready).Milliseconds())
	}
	if !r.WriteBegun.IsZero() {
		fields = append(fields, "since_write_ms", now.Sub(r.WriteBegun).Milliseconds())
	}
	return fields
}

// requestID returns the id of a request, or an empty string if the request could
// not be read.
func requestID(r ingress.RequestRecord) string {
	if r.Request == nil {
		return ""
	}
	return loggable(r.Request.Header.Peek(platform.HeaderRequestID))
}
