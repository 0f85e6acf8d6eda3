package pool

import (
	"math"
	"time"
)

// category classifies the outcome or the latency of an attempt, relative to what is
// usual on its route.
type category uint8

const (
	// categoryNone is no evidence.
	categoryNone category = iota
	// categoryAnswered is a complete answer on a route whose latency is not known yet.
	categoryAnswered
	// categoryFast, categoryMiddle and categoryHigh are complete answers with a latency
	// up to the quantiles 0.5, 0.8 and 0.95 of the route.
	categoryFast
	categoryMiddle
	categoryHigh
	// categoryTail is a complete answer with a latency above the quantile 0.95.
	categoryTail
	// categoryExtreme is a latency above extremeFactor times the quantile 0.95, with or
	// without an answer.
	categoryExtreme
	// categoryHung is an attempt without an answer after hungFactor times the quantile
	// 0.95.
	categoryHung
	// categoryFailed is an attempt without a complete answer, or with a server error.
	categoryFailed
	numCategories
)

const (
	// extremeFactor and hungFactor are the multiples of a route's quantile 0.95 above
	// which an attempt counts as extreme and, while unanswered, as hung.
	extremeFactor = 2
	hungFactor    = 5
	// hungMin is the least age of an attempt that counts as hung.
	hungMin = 100 * time.Millisecond
	// sampleLimit and sampleAge bound the evidence kept for a target.
	sampleLimit = 64
	sampleAge   = time.Minute
	// tallyHalfLife is the half-life of the counts in a tally.
	tallyHalfLife = 30 * time.Second
)

// sample is one piece of evidence about a target.
type sample struct {
	// started is when the attempt started, and at when the sample was taken.
	started  time.Time
	at       time.Time
	route    *route
	category category
	verdict  Verdict
	// unfinished is set if the attempt had not ended.
	unfinished bool
	latency    time.Duration
	// id is the attempt that the sample is about.
	id RequestID
}

// latencyRatio returns the latency in multiples of the usual one on the route.
func (s sample) latencyRatio() float64 {
	return float64(s.latency) / float64(max(1, s.route.median))
}

// failed reports whether the sample counts as a failure.
func (s sample) failed() bool { return s.category >= categoryHung }

// adverse reports whether the sample counts as evidence against the target.
func (s sample) adverse() bool { return s.category >= categoryTail }

// tally counts samples by category. The counts decay with tallyHalfLife.
type tally struct {
	counts [numCategories]float64
	total  float64
	at     time.Time
}

// decay reduces the counts by the time since the last change.
func (t *tally) decay(now time.Time) {
	if t.total > 0 && now.After(t.at) {
		keep := math.Exp2(-float64(now.Sub(t.at)) / float64(tallyHalfLife))
		for i := range t.counts {
			t.counts[i] *= keep
		}
		t.total *= keep
	}
	t.at = now
}

func (t *tally) add(now time.Time, c category) {
	t.decay(now)
	t.counts[c]++
	t.total++
}

// classify returns the category of an attempt on r that ended with the verdict
// after the given time.
func (r *route) classify(v Verdict, age time.Duration) category {
	switch v {
	case VerdictServerError, VerdictUnreachable, VerdictReset, VerdictTruncated:
		return categoryFailed
	case VerdictTimeout, VerdictCancelled:
		return r.classifyUnanswered(age)
	case VerdictAnswered:
		return r.classifyLatency(age)
	default:
		return categoryNone
	}
}

// classifyLatency returns the category of a complete answer.
func (r *route) classifyLatency(latency time.Duration) category {
	switch {
	case !r.known():
		return categoryAnswered
	case latency <= r.median:
		return categoryFast
	case latency <= r.high:
		return categoryMiddle
	case latency <= r.tail:
		return categoryHigh
	case latency <= extremeFactor*r.tail:
		return categoryTail
	default:
		return categoryExtreme
	}
}

// hungAge returns the age at which an unanswered attempt counts as hung.
func (r *route) hungAge() time.Duration { return max(hungFactor*r.tail, hungMin) }

// classifyUnanswered returns the category of an attempt that has no answer after
// the given time. It is no evidence until the time is extreme for the route.
func (r *route) classifyUnanswered(age time.Duration) category {
	switch {
	case !r.known() || age <= extremeFactor*r.tail:
		return categoryNone
	case age >= r.hungAge():
		return categoryHung
	default:
		return categoryExtreme
	}
}
