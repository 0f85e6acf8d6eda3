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
	held time.Time
}

const (
	// faultHold is how long a target that reset a request stays faulty at least,
	// faultTime the mean time from then on, and soundTime that of being sound.
	// Shorter ones try faulty targets again sooner and forget success sooner.
	faultHold = 4 * time.Second
	faultTime = 4 * time.Second
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
func (b belief) now(now time.Time) float64 {
	since := b.at
	if b.held.After(since) {
		since = b.held
	}
	rate := 1/faultTime.Seconds() + 1/soundTime.Seconds()
	fade := math.Exp(-rate * max(0, now.Sub(since).Seconds()))
	return restFaulty + (b.faulty-restFaulty)*fade
}

// observe takes an observation with the given likelihood ratio.
func (b *belief) observe(now time.Time, ratio float64) {
	p := b.now(now)
	odds := p / (1 - p) * ratio
	b.faulty = min(max(odds/(1+odds), beliefMin), beliefMax)
	b.at = now
	if ratio >= ratioReset {
		b.held = now.Add(faultHold)
	}
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
