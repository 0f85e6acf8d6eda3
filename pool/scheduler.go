// Package pool decides which target of a service runs which request, and whether
// a target is fit to take requests.
//
// A Scheduler does no I/O, starts no goroutine and reads no clock. Its owner
// calls all methods from one goroutine and passes the time in. The Scheduler
// reports its decisions through a Delegate, within the call.
//
// A target has a number of slots: the requests that it runs concurrently. The
// home of a service is the node whose Scheduler sees all of its requests; NewHome
// returns its Scheduler. The floor of a service is the healthy capacity, in
// slots, below which no ejection may take it. A target whose requests fail is
// ejected: it gets no requests for some time. It then passes a probation, in
// which it gets single trial requests, before it is back in service.
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
	// Route is the name of the route that matched. Service times are learned by route.
	Route string
	// Caller identifies the caller for fair shares. It is empty if unknown.
	Caller string
	// CallerWeight is the caller's part of the slots when they are short, in proportion to
	// those of others; 0 counts as 1.
	CallerWeight float64
	// Idempotent is set if the request may be run more than once.
	Idempotent bool
	// LastAttempt is set if no further attempt of the request will follow.
	LastAttempt bool
	// Deadline is the time after which an answer is of no use to the caller.
	Deadline time.Time
	// SoftDeadline is the time by which the answer should be there to meet the
	// latency objective. A later answer is worth less. The zero time means Deadline.
	SoftDeadline time.Time
	// Priority is the rank in which waiting attempts start. 0 starts first.
	Priority int
	// Exclude names targets that have already failed this request.
	Exclude []string
	// Only, if not empty, names the targets that the attempt may use.
	Only []string
	// Prefer names targets that the node that runs the attempt reaches at a lower
	// cost. They win among otherwise equal targets.
	Prefer []string
	// Avoid names targets that the node that runs the attempt recently failed to
	// reach. They are used only if there is no other.
	Avoid []string
	// Paused names targets that want no attempts from the node that runs this one for
	// now. They are not used.
	Paused []string
	// AvailabilityZone is the zone from which the attempt is run. Targets in it are
	// cheaper to reach.
	AvailabilityZone string
}

// Verdict classifies the end of an attempt.
type Verdict uint8

// The ends that an attempt can have.
const (
	// VerdictAnswered is a complete answer that is not a server error.
	VerdictAnswered Verdict = iota
	// VerdictServerError is a complete answer with a 5xx status.
	VerdictServerError
	// VerdictRefused means that the target stated that it did not run the request.
	VerdictRefused
	// VerdictUnreachable means that no connection could be opened.
	VerdictUnreachable
	// VerdictReset means that the connection ended before the answer began.
	VerdictReset
	// VerdictTruncated means that the answer began but was cut short or malformed.
	VerdictTruncated
	// VerdictTimeout means that the attempt timed out.
	VerdictTimeout
	// VerdictCancelled means that the caller left. It is no evidence about the target.
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
	// Bytes is the size of the request and of its answer; 0 if it is not known.
	Bytes int64
	// Leaving is set if the target announced that it is leaving.
	Leaving bool
}

// Refusal reports that an attempt was ended before a target got it.
type Refusal struct {
	// Reason is the rule that refused the attempt.
	Reason outcome.Reason
	// RetryAfter is how long the caller should wait. Zero gives no advice.
	RetryAfter time.Duration
}

// Origin is the place from which a target is probed.
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
	// Reachable is set if the target answered the probe.
	Reachable bool
	// Leaving is set if the target announced that it is leaving.
	Leaving bool
	// Latency is the duration of the probe.
	Latency time.Duration
}

// Target describes one target as the operators and the platform list it.
type Target struct {
	// Name identifies the target within its service.
	Name string
	// AvailabilityZone is the zone in which the target runs.
	AvailabilityZone string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Connections is the number of connections that the target accepts from the fleet.
	Connections int
	// Leaving is set if the platform lists the target as leaving.
	Leaving bool
}

// Delegate carries out the decisions of a Scheduler. Its methods are called
// during a call to the Scheduler. They must neither block nor call it back.
type Delegate interface {
	// Start has the target run the attempt. A call of Finish must follow.
	Start(id RequestID, target string)
	// Refuse ends an attempt that was never started.
	Refuse(id RequestID, r Refusal)
	// Probe requests one Observation of the target.
	Probe(target string, origin Origin)
	// Event records a decision. The owner fills in Node.
	Event(e event.Event)
}

// Scheduler assigns the requests of one service to its targets.
type Scheduler interface {
	// SetConfig replaces the service's settings.
	SetConfig(now time.Time, cfg Config)
	// SetTargets replaces the list of targets. Attempts that run on a target that is
	// no longer listed go on, but it gets no new ones.
	SetTargets(now time.Time, targets []Target)
	// Submit offers an attempt, which is started, queued or refused.
	Submit(now time.Time, r Request)
	// Cancel withdraws an attempt that has not started. It does not affect others.
	Cancel(now time.Time, id RequestID)
	// Finish reports the end of a started attempt and frees its slot.
	Finish(now time.Time, id RequestID, res Result)
	// Observe reports the answer to a probe.
	Observe(now time.Time, o Observation)
	// Absolve drops the failures recorded for a target since the given time, because
	// a request and not the target caused them.
	Absolve(now time.Time, target string, since time.Time)
	// Tick does the work that depends on time alone. The owner calls it no later
	// than Next.
	Tick(now time.Time)
	// Next returns when Tick is due next. The zero time means never.
	Next() time.Time
	// Snapshot returns the current state for status pages and tests.
	Snapshot(now time.Time) Snapshot
}

// TargetStatus is the state of one target in a Snapshot.
type TargetStatus struct {
	// Name identifies the target.
	Name string `json:"name"`
	// State is the name of the state, for example "serving".
	State string `json:"state"`
	// Slots is the listed number of slots, and Limit the number that may be used now.
	Slots int `json:"slots"`
	Limit int `json:"limit"`
	// InFlight is the number of attempts that were started and have not finished.
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
	// HealthySlots is the healthy capacity, and FloorSlots its floor.
	HealthySlots int `json:"healthy_slots"`
	FloorSlots   int `json:"floor_slots"`
}
