package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertmill.example/gateway/limits"
	"filbertmill.example/outcome"
	"filbertmill.example/poison"
	"filbertmill.example/pool"
	"filbertmill.example/retry"
)

// AttemptKind states whether and why an attempt follows an earlier one of the same
// request.
type AttemptKind uint8

// The kinds of attempt.
const (
	// FirstAttempt is the first attempt of a request.
	FirstAttempt AttemptKind = iota
	// RetryAfterRefusal follows an attempt that its target received but did not run.
	RetryAfterRefusal
	// RetryAfterFailure follows an attempt that failed.
	RetryAfterFailure
	// HedgedAttempt runs concurrently with an attempt whose answer is overdue.
	HedgedAttempt
	// Redirect follows an attempt of which no target has received a byte. It does
	// not count as a second attempt.
	Redirect
)

// ID identifies an attempt within the fleet.
type ID struct {
	// Node identifies the run of the node that makes the attempt, and Number the
	// attempt within that run.
	Node   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Attempt is a request for a target.
type Attempt struct {
	ID ID `cbor:"1,keyasint"`
	// Service and Route are those of the caller's request, and Request is its id as
	// the caller set it.
	Service string `cbor:"2,keyasint"`
	Route   string `cbor:"3,keyasint"`
	Request string `cbor:"4,keyasint"`
	// Idempotent is set if the request may be run more than once.
	Idempotent bool `cbor:"5,keyasint"`
	// Last is set if no further attempt of the request will follow.
	Last bool `cbor:"15,keyasint,omitempty"`
	// Workspace names the workspace of the request; empty if it has none.
	Workspace string `cbor:"22,keyasint,omitempty"`
	// Priority is the priority of the request; 0 is the highest.
	Priority int `cbor:"6,keyasint"`
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration `cbor:"7,keyasint"`
	// Exclude contains the targets that were already sent the request, and Prefer
	// those to which the node holds an idle connection.
	Exclude []TargetHash `cbor:"8,keyasint,omitempty"`
	Prefer  []TargetHash `cbor:"9,keyasint,omitempty"`
	// Kind states whether and why the attempt follows an earlier one.
	Kind AttemptKind `cbor:"10,keyasint,omitempty"`
	// SoftTimeLeft is the time until the request's soft deadline, after which an
	// answer misses the latency objective.
	SoftTimeLeft time.Duration `cbor:"12,keyasint"`
	// Only, if not empty, contains the only targets that the attempt may use.
	Only []TargetHash `cbor:"16,keyasint,omitempty"`
	// Avoid contains the targets that the node has recently failed to reach.
	Avoid []TargetHash `cbor:"13,keyasint,omitempty"`
	// Paused contains the targets that want no requests from the node for now.
	Paused []TargetHash `cbor:"20,keyasint,omitempty"`
	// AvailabilityZone is that of the node.
	AvailabilityZone string `cbor:"14,keyasint"`
	// Deposit contains the retry tokens that are sent with the attempt.
	Deposit retry.Deposit `cbor:"17,keyasint,omitempty"`
	// SentAt is the sending time by the Clock of the receiving Loop, as the node
	// estimates it. The estimate is ahead of that Clock only if the Loop's node was
	// restarted. The Loop drops a Deposit with such an estimate or without SentAt,
	// because its tokens may have expired in transit.
	SentAt time.Duration `cbor:"18,keyasint,omitempty"`
	// Limits is what the node knows of the statements of the service's targets.
	Limits KnownLimits `cbor:"19,keyasint,omitempty"`
	// Quarantine is what the node knows of the requests that crash targets.
	Quarantine KnownQuarantine `cbor:"23,keyasint,omitzero"`
	// RefusedBefore is the number of requests for the service that the node has refused by
	// itself since its last attempt.
	RefusedBefore int `cbor:"21,keyasint,omitempty"`
	// Fingerprint identifies requests that are identical for a target.
	Fingerprint poison.Fingerprint `cbor:"11,keyasint"`
}

// TargetHash is the hash of a target's name. Messages contain hashes, because names
// would be most of the bytes between a node and a home.
type TargetHash uint32

// HashTarget returns the hash of a target's name.
func HashTarget(name string) TargetHash { return TargetHash(xxhash.Sum64String(name)) }

// Grant answers an Attempt.
type Grant struct {
	// Target is the name of the assigned target, or empty if there is none.
	Target string `cbor:"1,keyasint,omitempty"`
	// Reason is why no target is assigned, and RetryAfter is the time after which the
	// caller may retry.
	Reason     outcome.Reason `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration  `cbor:"3,keyasint,omitempty"`
	// UsualLatency is the usual latency of answers on the route, or 0 if not known.
	UsualLatency time.Duration `cbor:"5,keyasint,omitempty"`
	// SuspectedPoison is set if the connection to a target was recently lost during
	// an identical request. If that happens again, the node that made the attempt
	// checks whether the target is down.
	SuspectedPoison bool `cbor:"6,keyasint,omitempty"`
	// Queued is set if the attempt still waits for a target.
	Queued bool `cbor:"4,keyasint,omitempty"`
	// Waited is the time that the attempt waited for its grant. TokensLeft is the
	// number of second attempts that the retry budget allowed then.
	Waited     time.Duration `cbor:"7,keyasint,omitempty"`
	TokensLeft int           `cbor:"8,keyasint,omitempty"`
	// Clock is the Clock of the Loop at the time of the answer.
	Clock time.Duration `cbor:"9,keyasint,omitempty"`
	// Permit is set if the target limits its rate and the grant took a permit.
	Permit bool `cbor:"10,keyasint,omitempty"`
	// NeedsLists is set if nothing was decided, because the home does not know the same
	// limits or the same quarantine as the node, which has to submit the attempt again with
	// the lists of them.
	NeedsLists bool `cbor:"11,keyasint,omitempty"`
	// Limits is the list of the home's limits, if it knows others than the node.
	Limits []limits.Entry `cbor:"12,keyasint,omitempty"`
	// Quarantine is the list of the requests that crash targets, if the home knows others
	// than the node.
	Quarantine []poison.Handover `cbor:"13,keyasint,omitempty"`
}

// Report is the result of a granted attempt.
type Report struct {
	ID ID `cbor:"1,keyasint"`
	// Service is the attempt's service.
	Service string `cbor:"2,keyasint"`
	// Verdict classifies the result, and Latency is the duration of the exchange with
	// the target.
	Verdict pool.Verdict  `cbor:"3,keyasint"`
	Latency time.Duration `cbor:"4,keyasint"`
	// Leaving is set if the target has announced that it is leaving.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Bytes is the size of the request and of its answer.
	Bytes int64 `cbor:"8,keyasint,omitempty"`
	// Stated is what the target's answer stated, or nil if that is nothing new.
	Stated *limits.Statement `cbor:"7,keyasint,omitempty"`
	// Lost is set if the connection was lost after the request was sent, also within the
	// answer. Crashed is set if the target did not accept connections after that.
	Lost    bool `cbor:"9,keyasint,omitempty"`
	Crashed bool `cbor:"6,keyasint,omitempty"`
}
