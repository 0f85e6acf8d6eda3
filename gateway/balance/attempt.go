package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertmill.example/outcome"
	"filbertmill.example/poison"
	"filbertmill.example/pool"
	"filbertmill.example/retry"
)

// Repeat says why an attempt follows an earlier one of the same request.
type AttemptKind uint8

// The kinds of attempt.
const (
	// First is the first attempt of a request.
	FirstAttempt AttemptKind = iota
	// AfterRefusal follows an attempt that its target did not run.
	RetryAfterRefusal
	// AfterFailure follows an attempt that failed.
	RetryAfterFailure
	// Hedge runs beside an attempt whose answer is overdue.
	HedgedAttempt
	// Redirected follows an attempt of which no target has seen a byte; it is
	// no second attempt to any.
	Redirect
)

// ID identifies an attempt within the fleet.
type ID struct {
	// Node is the run of the node that carries the attempt, and Number its own
	// number for it.
	Node   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Attempt asks for a target.
type Attempt struct {
	ID ID `cbor:"1,keyasint"`
	// Service and Route say where the request belongs; Request is its id as
	// the caller gave it.
	Service string `cbor:"2,keyasint"`
	Route   string `cbor:"3,keyasint"`
	Request string `cbor:"4,keyasint"`
	// Idempotent says that the request may be run more than once.
	Idempotent bool `cbor:"5,keyasint"`
	// Last says that no further attempt of the request will follow.
	Last bool `cbor:"15,keyasint,omitempty"`
	// Priority is its rank, 0 first.
	Priority int `cbor:"6,keyasint"`
	// TimeLeft is how long the caller still waits.
	TimeLeft time.Duration `cbor:"7,keyasint"`
	// Exclude names targets that had the request, Prefer those to which the
	// node holds a connection, by their hashes.
	Exclude []TargetHash `cbor:"8,keyasint,omitempty"`
	Prefer  []TargetHash `cbor:"9,keyasint,omitempty"`
	// Repeat says why the attempt is not the request's first.
	Kind AttemptKind `cbor:"10,keyasint,omitempty"`
	// DueLeft is how long an answer is worth most to the caller.
	ObjectiveTimeLeft time.Duration `cbor:"12,keyasint"`
	// Only, if not empty, names the targets that the attempt may use.
	Only []TargetHash `cbor:"16,keyasint,omitempty"`
	// Avoid names targets that the node lately failed to reach.
	Avoid []TargetHash `cbor:"13,keyasint,omitempty"`
	// AvailabilityZone is where the node runs.
	AvailabilityZone string `cbor:"14,keyasint"`
	// Deposit holds the retry tokens that the attempt brings along.
	Deposit retry.Deposit `cbor:"17,keyasint,omitempty"`
	// SentAt is the Clock of the Loop that is asked, as the node knows it at the
	// sending: never later than the true one. A Deposit without it is not taken:
	// nobody can tell whether its tokens have expired on their way.
	SentAt time.Duration `cbor:"18,keyasint,omitempty"`
	// Fingerprint identifies requests that are the same to a target.
	Fingerprint poison.Fingerprint `cbor:"11,keyasint"`
}

// TargetHash stands for a target's name: names would be most of the bytes
// between a node and a home.
type TargetHash uint32

// HashTarget returns the hash of a target's name.
func HashTarget(name string) TargetHash { return TargetHash(xxhash.Sum64String(name)) }

// Grant answers an Attempt.
type Grant struct {
	// Target names the target to run on; it is empty if there is none.
	Target string `cbor:"1,keyasint,omitempty"`
	// Reason says why there is none, and RetryAfter when the caller may ask again.
	Reason     outcome.Reason `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration  `cbor:"3,keyasint,omitempty"`
	// Usual is the time that answers on the route usually take.
	UsualLatency time.Duration `cbor:"5,keyasint,omitempty"`
	// Doubtful says that a request like this one has broken a connection off
	// before: if it does again, its node looks whether the target is down.
	SuspectedPoison bool `cbor:"6,keyasint,omitempty"`
	// Queued says that the attempt still waits.
	Queued bool `cbor:"4,keyasint,omitempty"`
	// Waited is the time from the question to the grant, and Left the number of
	// second attempts that the budget had left then.
	Waited     time.Duration `cbor:"7,keyasint,omitempty"`
	TokensLeft int           `cbor:"8,keyasint,omitempty"`
	// Clock is that of the Loop at the answer.
	Clock time.Duration `cbor:"9,keyasint,omitempty"`
}

// Report tells of the end of a granted attempt.
type Report struct {
	ID ID `cbor:"1,keyasint"`
	// Service is the attempt's service.
	Service string `cbor:"2,keyasint"`
	// Verdict classifies the end; Latency is the time from the start of the
	// exchange to its end.
	Verdict pool.Verdict  `cbor:"3,keyasint"`
	Latency time.Duration `cbor:"4,keyasint"`
	// Leaving says that the target announced that it is leaving.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Crashed says that nothing listened at the target after it broke off.
	Crashed bool `cbor:"6,keyasint,omitempty"`
}
