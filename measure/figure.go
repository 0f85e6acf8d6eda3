package main

import (
	"encoding/json"
	"io"
)

// Figure is one measured value.
type Figure struct {
	// Scenario is the name of the deployment and that of the scenario run on it.
	Scenario string `json:"scenario"`
	// Seed is the seed of arrivals, service times and draws.
	Seed uint64 `json:"seed"`
	// Variant is the way of load balancing: direct or home.
	Variant string `json:"variant"`
	// Measure names what was measured; Unit is its unit.
	Measure string  `json:"measure"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	// Bound is the limit of the measure, if it has one.
	Bound *float64 `json:"bound,omitempty"`
	// OK is set if the value is within the bound, or if there is none.
	OK bool `json:"ok"`
}

// bound is the limit of a measure.
type bound struct {
	limit   float64
	atLeast bool // the limit is a minimum, not a maximum
}

// measure describes one kind of figure.
type measure struct {
	name  string
	unit  string
	bound *bound
}

func atMost(limit float64) *bound  { return &bound{limit: limit} }
func atLeast(limit float64) *bound { return &bound{limit: limit, atLeast: true} }

// The measures. The bounds are the stated objectives of the project.
var (
	toolP99             = measure{"tool_p99_ms", "ms", nil}
	addedP99            = measure{"added_p99_ms", "ms", atMost(7.6)}
	addedP50            = measure{"added_p50_ms", "ms", nil}
	addedP90            = measure{"added_p90_ms", "ms", nil}
	peakGoodput         = measure{"crest_goodput_ratio", "ratio", atLeast(0.95)}
	refusedP99          = measure{"refused_p99_ms", "ms", nil}
	noRetryAfter        = measure{"refused_without_retry_after", "requests", atMost(0)}
	detection           = measure{"detection_s", "s", atMost(2)}
	detectionLow        = measure{"detection_requests", "requests", atMost(12)}
	falseEjections      = measure{"false_ejections", "ejections", atMost(0)}
	falseSuspicions     = measure{"false_suspicions", "suspicions", nil}
	shortWaitRatio      = measure{"short_wait_p99_ratio", "ratio", atMost(2)}
	shortWaitAlone      = measure{"short_wait_alone_p99_ms", "ms", nil}
	shortWaitMixed      = measure{"short_wait_mixed_p99_ms", "ms", nil}
	longWait            = measure{"long_wait_p99_ms", "ms", nil}
	answeredRatio       = measure{"answered_ratio", "ratio", nil}
	mixedOrCut          = measure{"mixed_or_cut_answers", "answers", atMost(0)}
	runsTwice           = measure{"runs_twice", "requests", atMost(0)}
	runsTwiceFleet      = measure{"runs_twice_of_one_sending", "requests", atMost(0)}
	falseNotRun         = measure{"false_not_run", "requests", atMost(0)}
	bookingsSent        = measure{"bookings_sent", "requests", nil}
	bookingsUnknown     = measure{"bookings_unknown", "requests", nil}
	cutOnDrain          = measure{"requests_cut_on_drain", "requests", atMost(0)}
	refusedOnDrain      = measure{"requests_refused_on_drain", "requests", nil}
	lateWork            = measure{"late_work_on_leaving_target", "requests", atMost(0)}
	floorHeld           = measure{"floor_held", "ejections withheld", nil}
	floorViolations     = measure{"floor_violations", "snapshots", atMost(0)}
	nodeRSS             = measure{"node_rss_mb", "MB", atMost(128)}
	configInForce       = measure{"config_in_force_s", "s", atMost(5)}
	revisionRegressions = measure{"revision_regressions", "reports", atMost(0)}
	storeCalls          = measure{"store_calls_s", "calls/s", nil}
	controlBytes        = measure{"control_bytes_per_node_s", "B/s", atMost(16 << 10)}
	controlCPU          = measure{"control_cpu_ratio", "cores", atMost(0.036)}
)

// satisfiedBy reports whether a value is within the bound.
func (b *bound) satisfiedBy(value float64) bool {
	switch {
	case b == nil:
		return true
	case b.atLeast:
		return value >= b.limit
	default:
		return value <= b.limit
	}
}

// label identifies the run that a figure belongs to.
type label struct {
	scenario string
	variant  string
	seed     uint64
}

// report collects the figures of a run.
type report struct {
	out     io.Writer
	figures []Figure
}

// add records a figure and writes it as a JSON line.
func (r *report) add(l label, m measure, value float64) {
	f := Figure{
		Scenario: l.scenario,
		Seed:     l.seed,
		Variant:  l.variant,
		Measure:  m.name,
		Value:    value,
		Unit:     m.unit,
		OK:       m.bound.satisfiedBy(value),
	}
	if m.bound != nil {
		f.Bound = &m.bound.limit
	}
	r.figures = append(r.figures, f)
	json.NewEncoder(r.out).Encode(f)
}

// missed returns the figures of a variant that miss their bounds.
func (r *report) missed(variant string) []Figure {
	var out []Figure
	for _, f := range r.figures {
		if f.Variant == variant && !f.OK {
			out = append(out, f)
		}
	}
	return out
}
