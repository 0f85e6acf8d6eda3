package pool

import (
	"math"
	"time"
)

// belief is the probability that a target is failing gray, by a hidden Markov
// model of two states: a target turns from sound to faulty and back at random,
// and fails most of its work while it is faulty. What is known of it fades, so
// that a target that was faulty is tried again, and one that has not been used
// for a while is trusted less than one that has just answered.
type belief struct {
	faulty float64
	at     time.Time
	// held is until when the belief does not fade: faults rarely end sooner.
	holdUntil time.Time
}

const (
	// faultHold is how long a target that reset a request stays faulty at least,
	// faultTime the mean time from then on, and soundTime that of being sound.
	// Shorter ones try faulty targets again sooner and forget success sooner.
	resetHold     = 4 * time.Second
	faultMeanTime = 4 * time.Second
	soundMeanTime = 12 * time.Second
	// restFaulty is the share of time that a target is faulty by these times.
	stationaryFaulty = float64(faultMeanTime) / float64(faultMeanTime+soundMeanTime)
	// newFaulty is the belief about a target that has just been listed.
	initialFaulty = 0.05
	// beliefMin and beliefMax keep single observations able to turn a belief.
	beliefMin = 0.002
	beliefMax = 0.995
)

// The likelihood ratios of an attempt's end: how many times likelier it is from
// a faulty target than from a sound one. Sound targets fail single requests with
// an error, a hang or a cut answer; what resets one request resets the next.
const (
	ratioAnswered    = 0.2
	ratioSlow        = 1.0
	ratioServerError = 4
	ratioReset       = 100
	ratioTruncated   = 4
	ratioTimeout     = 4
	ratioUnreachable = 8
	ratioRefused     = 1.5
)

// now returns the probability at a time.
func (b belief) probability(now time.Time) float64 {
	since := b.at
	if b.holdUntil.After(since) {
		since = b.holdUntil
	}
	rate := 1/faultMeanTime.Seconds() + 1/soundMeanTime.Seconds()
	fade := math.Exp(-rate * max(0, now.Sub(since).Seconds()))
	return stationaryFaulty + (b.faulty-stationaryFaulty)*fade
}

// observe takes an observation with the given likelihood ratio.
func (b *belief) observe(now time.Time, ratio float64) {
	p := b.probability(now)
	odds := p / (1 - p) * ratio
	b.faulty = min(max(odds/(1+odds), beliefMin), beliefMax)
	b.at = now
	if ratio >= ratioReset {
		b.holdUntil = now.Add(resetHold)
	}
}

// ratioOf returns the likelihood ratio of the end of an attempt that took
// slowness times as long as usual.
func likelihoodRatio(v Verdict, slowness float64) float64 {
	switch v {
	case VerdictAnswered:
		if slowness > slowAnswerFactor {
			return ratioSlow
		}
		return ratioAnswered
	case VerdictServerError:
		return ratioServerError
	case VerdictReset:
		return ratioReset
	case VerdictTruncated:
		return ratioTruncated
	case VerdictTimeout:
		return ratioTimeout
	case VerdictUnreachable:
		return ratioUnreachable
	case VerdictRefused:
		return ratioRefused
	}
	return 1
}

// slowAnswer is how many times longer than usual an answer takes that does not
// speak for its target.
const slowAnswerFactor = 4
