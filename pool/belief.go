package pool

import (
	"math"
	"time"
)

// belief is the probability that a target is faulty, in a gray failure: a hidden
// Markov model with the two states sound and faulty. A target changes between
// them at random, and fails most of its requests while it is faulty. Without
// observations the belief decays to the long-term share of faulty time. So a target
// that was faulty is tried again, and one that has been unused for a while is
// trusted less than one that has just answered.
type belief struct {
	faulty float64
	at     time.Time
	// holdUntil is until when the belief does not decay, because faults rarely end sooner.
	holdUntil time.Time
}

const (
	// faultHold is the least time for which a target is assumed faulty after a failure
	// that foretells others. faultMeanTime is the mean duration of a fault from then on, and
	// soundMeanTime that of being sound. Shorter times make faulty targets be tried
	// again sooner and successful answers be forgotten sooner.
	faultHold     = 4 * time.Second
	faultMeanTime = 4 * time.Second
	soundMeanTime = 12 * time.Second
	// stationaryFaulty is the share of time that a target is faulty by these means.
	stationaryFaulty = float64(faultMeanTime) / float64(faultMeanTime+soundMeanTime)
	// initialFaulty is the belief about a newly listed target.
	initialFaulty = 0.05
	// beliefMin and beliefMax bound a belief, so that single observations can still
	// change it.
	beliefMin = 0.002
	beliefMax = 0.995
)

// The likelihood ratios of the outcomes of an attempt that are not failures: how many
// times more likely the outcome is from a faulty target than from a sound one.
const (
	ratioAnswered = 0.2
	ratioSlow     = 1.0
	ratioRefused  = 1.5
)

// probability returns the belief at the given time.
func (b belief) probability(now time.Time) float64 {
	since := b.at
	if b.holdUntil.After(since) {
		since = b.holdUntil
	}
	rate := 1/faultMeanTime.Seconds() + 1/soundMeanTime.Seconds()
	decay := math.Exp(-rate * max(0, now.Sub(since).Seconds()))
	return stationaryFaulty + (b.faulty-stationaryFaulty)*decay
}

// observe updates the belief with an observation of the given likelihood ratio.
func (b *belief) observe(now time.Time, ratio float64) {
	posterior := odds(b.probability(now)) * ratio
	b.faulty = min(max(posterior/(1+posterior), beliefMin), beliefMax)
	b.at = now
}

// hold keeps the belief from decaying until the given time.
func (b *belief) hold(until time.Time) {
	if until.After(b.holdUntil) {
		b.holdUntil = until
	}
}

// slowAnswerFactor is the multiple of the usual latency above which an answer is
// no evidence for its target.
const slowAnswerFactor = 4
