// Package event defines the typed decisions that a node records and explains.
//
// Every decision names the rule that fired and carries the evidence that the
// rule evaluated, so that an operator can verify it afterwards.
package event

import "time"

// Kind names the class of a decision.
type Kind string

// The kinds of decision that a node records.
const (
	// KindEjection records that a target left normal service.
	KindEjection Kind = "ejection"
	// KindReturn records that a target returned to normal service.
	KindReturn Kind = "return"
	// KindTargetState records any other change of a target's state.
	KindTargetState Kind = "target_state"
	// KindFloorHeld records an ejection withheld because it would leave the
	// service fewer healthy slots than its floor.
	KindFloorHeld Kind = "floor_held"
	// KindCommonCause records an ejection withheld because the target's peers
	// degraded at the same time.
	KindCommonCause Kind = "common_cause"
	// KindRefusal records a request that was refused before it ran.
	KindRefusal Kind = "refusal"
	// KindShed records that a target declined a request that was sent to it.
	KindShed Kind = "shed"
	// KindRetry records a second attempt at a request.
	KindRetry Kind = "retry"
	// KindFailover records that an entry node bypassed an unresponsive home.
	KindFailover Kind = "failover"
	// KindHomeMove records that a service's home changed.
	KindHomeMove Kind = "home_move"
	// KindConfiguration records a decision on a configuration revision, such
	// as its coming into force.
	KindConfiguration Kind = "configuration"
	// KindPoison records a request fingerprint being quarantined or released.
	KindPoison Kind = "poison"
)

// Kinds lists all kinds of decision.
func Kinds() []Kind {
	return []Kind{
		KindEjection, KindReturn, KindTargetState, KindFloorHeld, KindCommonCause, KindRefusal, KindShed,
		KindRetry, KindFailover, KindHomeMove, KindConfiguration, KindPoison,
	}
}

// Evidence holds the figures on which a decision was taken. A field that the
// rule did not consider is zero.
type Evidence struct {
	// Samples is the number of exchanges that the rule evaluated.
	Samples int `json:"samples,omitempty" cbor:"1,keyasint,omitempty"`
	// Failures is the number of those exchanges that failed.
	Failures int `json:"failures,omitempty" cbor:"2,keyasint,omitempty"`
	// Latency is the target's own latency.
	Latency time.Duration `json:"latency_ns,omitempty" cbor:"3,keyasint,omitempty"`
	// PeerLatency is the latency of the other targets on the same routes.
	PeerLatency time.Duration `json:"peer_latency_ns,omitempty" cbor:"4,keyasint,omitempty"`
	// Score is the value of the test statistic, in the rule's own unit.
	Score float64 `json:"score,omitempty" cbor:"5,keyasint,omitempty"`
	// Threshold is the value at which the rule fires.
	Threshold float64 `json:"threshold,omitempty" cbor:"6,keyasint,omitempty"`
	// HealthySlots is the service's healthy capacity after the decision.
	HealthySlots int `json:"healthy_slots,omitempty" cbor:"7,keyasint,omitempty"`
	// FloorSlots is the service's floor: the number of healthy slots below
	// which no ejection may take it.
	FloorSlots int `json:"floor_slots,omitempty" cbor:"8,keyasint,omitempty"`
	// Queued is the number of requests waiting.
	Queued int `json:"queued,omitempty" cbor:"9,keyasint,omitempty"`
	// Wait is the time that a request waited or would have waited.
	Wait time.Duration `json:"wait_ns,omitempty" cbor:"10,keyasint,omitempty"`
	// Revision is the configuration revision concerned.
	Revision int64 `json:"revision,omitempty" cbor:"11,keyasint,omitempty"`
	// Detail is a sentence for people on what no other field holds.
	Detail string `json:"detail,omitempty" cbor:"12,keyasint,omitempty"`
}

// Event is one decision.
type Event struct {
	// Time is when the decision was taken, by the node's wall clock.
	Time time.Time `json:"time" cbor:"1,keyasint"`
	// Node is the node that took the decision.
	Node string `json:"node" cbor:"2,keyasint"`
	// Kind is the class of the decision.
	Kind Kind `json:"kind" cbor:"3,keyasint"`
	// Service is the service concerned, if any.
	Service string `json:"service,omitempty" cbor:"4,keyasint,omitempty"`
	// Target is the target concerned, if any.
	Target string `json:"target,omitempty" cbor:"5,keyasint,omitempty"`
	// Request is the id of the request concerned, if any.
	Request string `json:"request,omitempty" cbor:"6,keyasint,omitempty"`
	// Rule names the rule that fired, for example "failure_ratio".
	Rule string `json:"rule" cbor:"7,keyasint"`
	// From and To are the states before and after, where the decision is a
	// change of state.
	From string `json:"from,omitempty" cbor:"8,keyasint,omitempty"`
	To   string `json:"to,omitempty" cbor:"9,keyasint,omitempty"`
	// Evidence holds the figures that the rule evaluated.
	Evidence Evidence `json:"evidence" cbor:"10,keyasint"`
}

// Sink receives events as the decisions are taken. Implementations must not block.
type Sink interface {
	Emit(Event)
}
