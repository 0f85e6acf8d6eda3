package pool

import (
	"math"
	"slices"
	"time"
)

const (
	// runPeersMin is the least number of peers' samples within a run.
	runPeersMin = 16
	// latencyDiscount weakens the evidence of latency, because successive
	// latencies depend on one another and tails are known less well.
	latencyDiscount = 0.65
	// failedShareMin is the least share of failures that a failing target is
	// taken to have.
	failedShareMin = 0.3
	// failuresMin is the least weight of failures that convicts; a target that
	// takes busyRate requests a second or more needs failuresMinBusy.
	failureWeightMin     = 3
	failureWeightMinBusy = 4
	busyRate             = 4
	// quietRate is the requests a second up to which scores need no caution.
	lowRate = 2
	// lostWeight is the weight of an unreachable attempt as a failure, and of a
	// hung one on a route whose share of hung ones is at most hungRare.
	noResponseWeight = 2
	rareHungShare    = 0.002
	// commonRatio is how many times slower than usual peers are when the cause
	// of hung attempts may be common.
	commonSlowdownRatio = 1.5
	// answeredMin is the least share of answers that is reckoned with.
	answeredShareMin = 0.01
)

// slowed are the frequencies of a target that is several times slower.
var slowFrequencies = frequencies{0, 0, 0.13, 0.145, 0.176, 0.25, 0.299, 0, 0}

// finding is the result of comparing a target with its peers.
type finding struct {
	// rule names the alternative that explains the samples best.
	rule string
	// score is the log likelihood ratio of that alternative.
	score float64
	// alone is the score without regard to what peers saw in the same window.
	ownScore float64
	// peersAlike says that peers were seen enough and show much the same.
	peersSimilar bool
	// thin says that there are too few failures to convict on.
	tooFewFailures bool
	samples        int
	failures       int
	latency        time.Duration
	peerLatency    time.Duration
}

// alternative is a hypothesis about a target that is not healthy.
type alternative struct {
	// ratio returns the log likelihood ratio of one sample.
	logRatio func(c category, q frequencies, share float64) float64
	// failing says that the alternative is about failures.
	failing bool
}

// failingRatio compares a target that fails a share of its work with a healthy one.
func failingLogRatio(c category, q frequencies, share float64) float64 {
	if c >= categoryHung {
		return math.Log(share / q[c])
	}
	return math.Log((1 - share) / max(answeredShareMin, 1-q[categoryFailed]-q[categoryHung]))
}

// slowRatio compares a target that is several times slower with a healthy one.
func slowLogRatio(c category, q frequencies, _ float64) float64 {
	if c >= categoryHung || c == categoryAnswered {
		return 0
	}
	return latencyDiscount * math.Log(slowFrequencies[c]/q[c])
}

var alternatives = []alternative{
	{logRatio: failingLogRatio, failing: true},
	{logRatio: slowLogRatio},
}

// examine compares t with its peers on the same routes.
func (h *home) compareWithPeers(now time.Time, t *target) finding {
	var worst finding
	for _, alt := range alternatives {
		if !alt.failing && t.state == StateCold {
			continue
		}
		f := h.testAlternative(now, t, alt)
		if f.score > worst.score || (f.score == worst.score && f.ownScore > worst.ownScore) {
			worst = f
		}
	}
	return worst
}

// test finds the run of latest samples that speaks most for alt, and weighs it
// again with what peers saw in the same window.
func (h *home) testAlternative(now time.Time, t *target, alt alternative) finding {
	samples := t.freshSamples(now)
	usual := h.baselines(now, t, samples)
	run, alone := bestRun(samples, usual, alt)
	if len(run) == 0 {
		return finding{}
	}
	f := finding{ownScore: alone, samples: len(run), rule: ruleOf(run, alt)}
	f.failures = failures(run)
	f.latency, f.peerLatency = medianLatencies(run)
	peersSlowed := h.peersLatencyRatio(t, run) >= commonSlowdownRatio
	f.tooFewFailures = alt.failing && failureWeight(run, usual, peersSlowed) < t.failureWeightNeeded(now)
	within, peers := h.baselinesDuring(now, t, run, usual)
	if peers < runPeersMin {
		return f
	}
	f.peersSimilar = !h.standsOut(now, t, run, within, alt)
	if !f.peersSimilar {
		f.score = max(0, score(run, within, alt))
	}
	return f
}

// failuresNeeded returns the least weight of failures that convicts t.
func (t *target) failureWeightNeeded(now time.Time) int {
	if t.sampleRate(now) >= busyRate {
		return failureWeightMinBusy
	}
	return failureWeightMin
}

// rate returns the samples a second that t gave lately.
func (t *target) sampleRate(now time.Time) float64 {
	return float64(len(t.samplesSince(now.Add(-recentWindow)))) / recentWindow.Seconds()
}

// caution returns what is added to the scores that decide about t, so that
// errors are as rare in an hour of much work as in one of little.
func (t *target) thresholdIncrease(now time.Time) float64 {
	return math.Log(max(1, t.sampleRate(now)/lowRate))
}

// bestRun returns the latest samples with the highest score.
func bestRun(samples []sample, usual map[*route]frequencies, alt alternative) ([]sample, float64) {
	best, bestScore, sum := len(samples), 0.0, 0.0
	for i := len(samples) - 1; i >= 0; i-- {
		s := samples[i]
		sum += alt.logRatio(s.category, usual[s.route], failedShareMin)
		if sum > bestScore {
			best, bestScore = i, sum
		}
	}
	return samples[best:], bestScore
}

// score returns the log likelihood ratio of alt over the run.
func score(run []sample, usual map[*route]frequencies, alt alternative) float64 {
	share := (float64(failures(run)) + 0.9) / (float64(len(run)) + 3)
	share = max(failedShareMin, share)
	sum := 0.0
	for _, s := range run {
		sum += alt.logRatio(s.category, usual[s.route], share)
	}
	return sum
}

func failures(run []sample) int {
	n := 0
	for _, s := range run {
		if s.failed() {
			n++
		}
	}
	return n
}

// failureWeight returns the failures with lost attempts counting for more; hung
// ones do not while peers are slower than usual themselves.
func failureWeight(run []sample, usual map[*route]frequencies, peersSlowed bool) int {
	n := 0
	for _, s := range run {
		switch {
		case !s.failed():
		case s.verdict == VerdictUnreachable,
			s.category == categoryHung && !peersSlowed && usual[s.route][categoryHung] <= rareHungShare:
			n += noResponseWeight
		default:
			n++
		}
	}
	return n
}

// latencies returns the median of the run's latencies and of the usual ones
// on the same routes.
func medianLatencies(run []sample) (own, peer time.Duration) {
	owns := make([]time.Duration, 0, len(run))
	peers := make([]time.Duration, 0, len(run))
	for _, s := range run {
		owns = append(owns, s.latency)
		peers = append(peers, s.route.median)
	}
	slices.Sort(owns)
	slices.Sort(peers)
	return owns[len(owns)/2], peers[len(peers)/2]
}
