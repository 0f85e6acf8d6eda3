package target

import (
	"time"

	"filbertmill.example/testbed/endless"
)

// Behavior configures the faults of a target. The zero value is a target without
// faults. Shares are from 0 to 1 and drawn for each request.
type Behavior struct {
	// FailShare is the share of requests answered 500.
	FailShare float64 `json:"fail_share,omitempty"`
	// FailFast answers those requests immediately instead of after the service time.
	FailFast bool `json:"fail_fast,omitempty"`
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// HangShare is the share of requests that are never answered and occupy their
	// slot until the caller leaves.
	HangShare float64 `json:"hang_share,omitempty"`
	// Swallow accepts connections and requests, probes included, and never answers.
	Swallow bool `json:"swallow,omitempty"`
	// Refuse closes the listener and all connections.
	Refuse bool `json:"refuse,omitempty"`
	// TruncateShare is the share of answers whose body ends halfway.
	TruncateShare float64 `json:"truncate_share,omitempty"`
	// TruncateChunked sends those answers chunked, without the last chunk, instead
	// of with a Content-Length.
	TruncateChunked bool `json:"truncate_chunked,omitempty"`
	// DoubleShare is the share of answers sent twice on the connection.
	DoubleShare float64 `json:"double_share,omitempty"`
	// LateShare is the share of answers that are sent LateBy after the work is
	// completed, even if the caller has left.
	LateShare float64       `json:"late_share,omitempty"`
	LateBy    time.Duration `json:"late_by,omitempty"`
	// EndlessShare is the share of answers without end, of the kind Endless.
	// Trickle is the time between two writes of such an answer; 0 sends as fast as
	// the caller reads.
	EndlessShare float64       `json:"endless_share,omitempty"`
	Endless      endless.Kind  `json:"endless,omitempty"`
	Trickle      time.Duration `json:"trickle,omitempty"`
	// Health is the mode of the health endpoint. Default: HealthGood.
	Health Health `json:"health,omitempty"`
	// Load is the mode of the load endpoint. Default: LoadTrue.
	Load Load `json:"load,omitempty"`
}

// Health is a mode of the health endpoint.
type Health string

// The modes of the health endpoint.
const (
	// HealthGood answers 200 unless the target is leaving.
	HealthGood Health = ""
	// HealthBad answers 503 although work succeeds.
	HealthBad Health = "bad"
	// HealthLagging keeps reporting the state before the last change of behavior
	// for HealthLag.
	HealthLagging Health = "lagging"
)

// HealthLag is how long a lagging health or load endpoint reports an old state.
const HealthLag = 10 * time.Second

// Load is a mode of the load endpoint.
type Load string

// The modes of the load endpoint.
const (
	// LoadTrue reports the actual number of requests in flight.
	LoadTrue Load = ""
	// LoadZero reports an idle target.
	LoadZero Load = "zero"
	// LoadLagging keeps reporting the load before the last change of behavior for
	// HealthLag.
	LoadLagging Load = "lagging"
)

// Step is one entry of a schedule of behaviors.
type Step struct {
	// At is when the step begins, as the time since the start of the schedule.
	At time.Duration `json:"at"`
	// Behavior applies from At on.
	Behavior Behavior `json:"behavior"`
}
