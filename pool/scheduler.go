// Package pool decides which target of a service runs which request, and when
// a target is fit to run any.
//
// A Scheduler is plain code on typed inputs: it does no I/O, starts no
// goroutine and reads no clock. Its owner calls it from one goroutine and
// passes the time in; it answers through a Delegate, during the call.
package pool

import (
	"time"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
)

// RequestID identifies an attempt of a request within one Scheduler.
type RequestID uint64

// Request is one attempt to run a caller's request on a target.
type Request struct {
	// ID is unique among the attempts that the Scheduler has not finished.
	ID RequestID
	// Route is the name of the route that matched; service times are learned by it.
	Route string
	// Caller identifies the caller for fair shares; empty if not known.
	Caller string
	// Idempotent says that the request may be run more than once.
	Idempotent bool
	// LastAttempt says that no further attempt of the request will follow.
	LastAttempt bool
	// Deadline is when the caller's interest ends.
	Deadline time.Time
	// SoftDeadline is when an answer stops being worth most to the caller; the zero
	// time means Deadline.
	SoftDeadline time.Time
	// Priority is the rank in which waiting attempts start, 0 first.
	Priority int
	// Exclude names targets that have already failed this request.
	Exclude []string
	// Only, if not empty, names the targets that the attempt may use.
	Only []string
	// Prefer names targets that are cheaper to reach for whoever runs the
	// attempt; they win among equals.
	Prefer []string
	// Avoid names targets that whoever runs the attempt has lately failed to
	// reach; they are used only if there is no other.
	Avoid []string
	// AvailabilityZone is where the attempt is run from; targets there are
	// cheaper to reach.
	AvailabilityZone string
}

// Verdict classifies the end of an attempt.
type Verdict uint8

// The ends that an attempt can have.
const (
	// VerdictAnswered means a whole answer that is not a server error.
	VerdictAnswered Verdict = iota
	// VerdictServerError means a whole answer with a 5xx status.
	VerdictServerError
	// VerdictRefused means that the target stated that it did not run the request.
	VerdictRefused
	// VerdictUnreachable means that no connection could be opened.
	VerdictUnreachable
	// VerdictReset means that the connection ended before the answer began.
	VerdictReset
	// VerdictTruncated means that the answer began and was cut short or malformed.
	VerdictTruncated
	// VerdictTimeout means that the attempt's time ran out.
	VerdictTimeout
	// VerdictCancelled means that the caller left; it says nothing of the target.
	VerdictCancelled
)

var verdictNames = [...]string{
	"answered", "server_error", "refused", "unreachable", "reset", "truncated", "timeout", "cancelled",
}

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "undefined"
}

// Result reports the end of an attempt to the Scheduler.
type Result struct {
	// Verdict classifies the end.
	Verdict Verdict
	// Latency is the time from the start of the exchange to its end.
	Latency time.Duration
	// Leaving says that the target announced that it is leaving.
	Leaving bool
}

// Refusal reports that an attempt was given up before a target saw it.
type Refusal struct {
	// Reason is the rule that refused.
	Reason outcome.Reason
	// RetryAfter is how long the caller should wait; zero gives no advice.
	RetryAfter time.Duration
}

// Origin says from where a target is probed.
type Origin uint8

// The places from which a target can be probed.
const (
	// OriginHome probes from the node that owns the Scheduler.
	OriginHome Origin = iota
	// OriginOtherZone probes from a node in another availability zone.
	OriginOtherZone
)

// Observation is the answer to a probe.
type Observation struct {
	// Target is the target probed.
	Target string
	// Origin is where it was probed from.
	Origin Origin
	// Reachable says that the target answered the probe.
	Reachable bool
	// Leaving says that the target announced that it is leaving.
	Leaving bool
	// Latency is the time the probe took.
	Latency time.Duration
}

// Target describes one target as the operators and the platform list it.
type Target struct {
	// Name identifies the target within its service.
	Name string
	// AvailabilityZone is where the target runs.
	AvailabilityZone string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Connections is the number of connections that the target accepts from the fleet.
	Connections int
	// Leaving says that the platform lists the target as going away.
	Leaving bool
}

// Delegate carries out what a Scheduler decides. Its methods are called
// during a call to the Scheduler and must neither block nor call it back.
type Delegate interface {
	// Start has the target run the attempt; Finish must follow.
	Start(id RequestID, target string)
	// Refuse ends an attempt that never started.
	Refuse(id RequestID, r Refusal)
	// Probe asks for one Observation of the target.
	Probe(target string, origin Origin)
	// Event records a decision; the owner fills in Node.
	Event(e event.Event)
}

// Scheduler assigns the requests of one service to its targets.
type Scheduler interface {
	// SetConfig replaces the service's settings.
	SetConfig(now time.Time, cfg Config)
	// SetTargets replaces the list of targets. Attempts on a target that is no
	// longer listed go on; it gets no new ones.
	SetTargets(now time.Time, targets []Target)
	// Submit offers an attempt: it is started, queued or refused.
	Submit(now time.Time, r Request)
	// Cancel withdraws an attempt that has not started; others are not affected.
	Cancel(now time.Time, id RequestID)
	// Finish reports the end of a started attempt and frees its slot.
	Finish(now time.Time, id RequestID, res Result)
	// Observe reports the answer to a probe.
	Observe(now time.Time, o Observation)
	// Absolve drops the failures charged to a target since the given time,
	// because a request and not the target caused them.
	Absolve(now time.Time, target string, since time.Time)
	// Tick does what is due; the owner calls it no later than Next.
	Tick(now time.Time)
	// Next returns when Tick is due next; the zero time means never.
	Next() time.Time
	// Snapshot reports the present state for status pages and tests.
	Snapshot(now time.Time) Snapshot
}

// TargetStatus is the state of one target in a Snapshot.
type TargetStatus struct {
	// Name identifies the target.
	Name string `json:"name"`
	// State is the name of the state, for example "serving".
	State string `json:"state"`
	// Slots is the listed number of slots; Limit is what may be used now.
	Slots int `json:"slots"`
	Limit int `json:"limit"`
	// InFlight is the number of attempts started and not finished.
	InFlight int `json:"in_flight"`
}

// Snapshot is the state of a Scheduler at one moment.
type Snapshot struct {
	// Service is the service's name.
	Service string `json:"service"`
	// Targets lists the targets by name.
	Targets []TargetStatus `json:"targets"`
	// Queued is the number of waiting attempts.
	Queued int `json:"queued"`
	// HealthySlots and FloorSlots are the healthy capacity and its floor.
	HealthySlots int `json:"healthy_slots"`
	FloorSlots   int `json:"floor_slots"`
}
