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
}

const (
	// faultTime and soundTime are the mean times that a target stays faulty and
	// sound. Shorter ones try faulty targets again sooner and forget success sooner.
	faultTime = 5 * time.Second
	soundTime = 12 * time.Second
	// restFaulty is the share of time that a target is faulty by these times.
	restFaulty = float64(faultTime) / float64(faultTime+soundTime)
	// newFaulty is the belief about a target that has just been listed.
	newFaulty = 0.05
	// beliefMin and beliefMax keep single observations able to turn a belief.
	beliefMin = 0.002
	beliefMax = 0.995
)

// The likelihood ratios of an attempt's end: how many times likelier it is from
// a faulty target than from a sound one.
const (
	ratioAnswered    = 0.2
	ratioSlow        = 1.0
	ratioServerError = 25
	ratioReset       = 100
	ratioTruncated   = 25
	ratioTimeout     = 10
	ratioUnreachable = 8
	ratioRefused     = 1.5
)

// now returns the probability at a time.
func (b belief) now(now time.Time) float64 {
	rate := 1/faultTime.Seconds() + 1/soundTime.Seconds()
	fade := math.Exp(-rate * now.Sub(b.at).Seconds())
	return restFaulty + (b.faulty-restFaulty)*fade
}

// observe takes an observation with the given likelihood ratio.
func (b *belief) observe(now time.Time, ratio float64) {
	p := b.now(now)
	odds := p / (1 - p) * ratio
	b.faulty = min(max(odds/(1+odds), beliefMin), beliefMax)
	b.at = now
}

// ratioOf returns the likelihood ratio of the end of an attempt that took
// slowness times as long as usual.
func ratioOf(v Verdict, slowness float64) float64 {
	switch v {
	case VerdictAnswered:
		if slowness > slowAnswer {
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
const slowAnswer = 4
