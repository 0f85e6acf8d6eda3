package pool

import (
	"math"
	"time"
)

const (
	// tailBuckets is the number of buckets of latencyTail. Each spans half an octave,
	// from the usual latency up to 45 times as much.
	tailBuckets      = 12
	bucketsPerOctave = 2
	// tailSamples is the number of answers over which the tail is averaged, and
	// tailPriorSamples the weight of the prior.
	tailSamples      = 400
	tailPriorSamples = 10
	// The prior share of answers slower than x times the usual latency is
	// tailPriorScale * x^-tailPriorExponent.
	tailPriorScale    = 0.4
	tailPriorExponent = 1.4
	// minTailShare is the least share of slower answers that is assumed.
	minTailShare = 0.002
)

// latencyTail is the distribution of a route's latencies above the usual one.
type latencyTail struct {
	samples float64
	// counts has the answers by bucket of their latency.
	counts [tailBuckets]float64
}

// add adds an attempt that took x times the usual latency, with a weight up to 1.
func (l *latencyTail) add(x, weight float64) {
	if l.samples >= tailSamples {
		keep := (tailSamples - 1) / l.samples
		l.samples *= keep
		for i := range l.counts {
			l.counts[i] *= keep
		}
	}
	l.samples += weight
	if i := tailBucket(x); i >= 0 {
		l.counts[i] += weight
	}
}

// slower returns the share of answers that take more than x times the usual latency.
func (l *latencyTail) slower(x float64) float64 {
	first := tailBucket(x)
	if first < 0 {
		return 1
	}
	n := tailPriorSamples * tailPriorScale * math.Pow(x, -tailPriorExponent)
	for _, count := range l.counts[first:] {
		n += count
	}
	return max(n/(l.samples+tailPriorSamples), minTailShare)
}

// tailBucket returns the bucket of a multiple of the usual latency, or -1 below it.
func tailBucket(x float64) int {
	if x < 1 {
		return -1
	}
	return min(int(bucketsPerOctave*math.Log2(x)), tailBuckets-1)
}

// pendingRatio returns the likelihood ratio of an attempt that has no answer after x
// times the usual latency, if a faulty target leaves the given share unanswered.
func (l *latencyTail) pendingRatio(x, hangShare float64) float64 {
	slower := l.slower(x)
	return min((hangShare+(1-hangShare)*slower)/slower, maxRatio)
}

// slowness returns a time as a multiple of the usual latency.
func slowness(d, usual time.Duration) float64 { return float64(d) / float64(usual) }
