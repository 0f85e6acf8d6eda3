package pool

import (
	"math"
	"slices"
	"time"
)

const (
	// runPeersMin is the least number of peers' samples within a run of samples.
	runPeersMin = 16
	// latencyDiscount weakens the evidence from latencies, because successive
	// latencies are correlated and the tails of their distribution are less well known.
	latencyDiscount = 0.65
	// failedShareMin is the least share of failures assumed of a failing target.
	failedShareMin = 0.3
	// failureWeightMin is the least weight of failures for an ejection. A target
	// that takes busyRate requests per second or more needs failureWeightMinBusy.
	failureWeightMin     = 3
	failureWeightMinBusy = 4
	busyRate             = 4
	// lowRate is the number of requests per second up to which the thresholds are not
	// raised.
	lowRate = 2
	// noResponseWeight is the weight, as a failure, of an attempt that could not
	// connect, and of a hung one on a route whose share of hung ones is at most
	// rareHungShare.
	noResponseWeight = 2
	rareHungShare    = 0.002
	// commonSlowdownRatio is how many times slower than usual peers are when hung
	// attempts may have a common cause.
	commonSlowdownRatio = 1.5
	// answeredShareMin is the least share of answers assumed of a healthy target.
	answeredShareMin = 0.01
)

// slowFrequencies are the frequencies of a target that is several times slower
// than its peers.
var slowFrequencies = frequencies{0, 0, 0.13, 0.145, 0.176, 0.25, 0.299, 0, 0}

// finding is the result of comparing a target with its peers.
type finding struct {
	// rule names the alternative that explains the samples best.
	rule string
	// score is the log likelihood ratio of that alternative.
	score float64
	// ownScore is the score without regard to the peers' samples in the same window.
	ownScore float64
	// peersSimilar is set if there were enough samples of peers and they show much
	// the same.
	peersSimilar bool
	// tooFewFailures is set if there are too few failures for an ejection.
	tooFewFailures bool
	samples        int
	failures       int
	latency        time.Duration
	peerLatency    time.Duration
}

// alternative is a hypothesis about an unhealthy target, tested against the
// hypothesis that the target is like its peers.
type alternative struct {
	// logRatio returns the log likelihood ratio of one sample.
	logRatio func(c category, q frequencies, share float64) float64
	// failing is set if the alternative is about failures and not about latency.
	failing bool
}

// failingLogRatio compares a target that fails a share of its requests with a
// healthy one.
func failingLogRatio(c category, q frequencies, share float64) float64 {
	if c >= categoryHung {
		return math.Log(share / q[c])
	}
	return math.Log((1 - share) / max(answeredShareMin, 1-q[categoryFailed]-q[categoryHung]))
}

// slowLogRatio compares a target that is several times slower with a healthy one.
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

// compareWithPeers tests all alternatives about t against its peers on the same
// routes and returns the strongest finding.
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

// testAlternative finds the run of latest samples with the highest score for alt.
// It scores that run again with the peers' samples in the same window.
func (h *home) testAlternative(now time.Time, t *target, alt alternative) finding {
	samples := t.freshSamples(now)
	baselines := h.baselines(now, t, samples)
	run, ownScore := bestRun(samples, baselines, alt)
	if len(run) == 0 {
		return finding{}
	}
	f := finding{ownScore: ownScore, samples: len(run), rule: ruleOf(run, alt)}
	f.failures = failures(run)
	f.latency, f.peerLatency = medianLatencies(run)
	peersSlowed := h.peersLatencyRatio(t, run) >= commonSlowdownRatio
	f.tooFewFailures = alt.failing && failureWeight(run, baselines, peersSlowed) < t.failureWeightNeeded(now)
	within, peers := h.baselinesDuring(now, t, run, baselines)
	if peers < runPeersMin {
		return f
	}
	f.peersSimilar = !h.standsOut(now, t, run, within, alt)
	if !f.peersSimilar {
		f.score = max(0, score(run, within, alt))
	}
	return f
}

// failureWeightNeeded returns the least weight of failures for an ejection of t.
func (t *target) failureWeightNeeded(now time.Time) int {
	if t.sampleRate(now) >= busyRate {
		return failureWeightMinBusy
	}
	return failureWeightMin
}

// sampleRate returns the number of recent samples of t per second.
func (t *target) sampleRate(now time.Time) float64 {
	return float64(len(t.samplesSince(now.Add(-recentWindow)))) / recentWindow.Seconds()
}

// thresholdIncrease returns what is added to the score thresholds for t. It rises with
// the rate of samples, so that false decisions per hour don't become more frequent
// with load.
func (t *target) thresholdIncrease(now time.Time) float64 {
	return math.Log(max(1, t.sampleRate(now)/lowRate))
}

// bestRun returns the run of latest samples with the highest score, and the score.
func bestRun(samples []sample, baselines map[*route]frequencies, alt alternative) ([]sample, float64) {
	best, bestScore, sum := len(samples), 0.0, 0.0
	for i := len(samples) - 1; i >= 0; i-- {
		s := samples[i]
		sum += alt.logRatio(s.category, baselines[s.route], failedShareMin)
		if sum > bestScore {
			best, bestScore = i, sum
		}
	}
	return samples[best:], bestScore
}

// score returns the log likelihood ratio of alt over the run.
func score(run []sample, baselines map[*route]frequencies, alt alternative) float64 {
	share := (float64(failures(run)) + 0.9) / (float64(len(run)) + 3)
	share = max(failedShareMin, share)
	sum := 0.0
	for _, s := range run {
		sum += alt.logRatio(s.category, baselines[s.route], share)
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

// failureWeight returns the weighted number of failures. Attempts without a response
// count noResponseWeight. Hung attempts don't while peers are slower than usual.
func failureWeight(run []sample, baselines map[*route]frequencies, peersSlowed bool) int {
	n := 0
	for _, s := range run {
		switch {
		case !s.failed():
		case s.verdict == VerdictUnreachable,
			s.category == categoryHung && !peersSlowed && baselines[s.route][categoryHung] <= rareHungShare:
			n += noResponseWeight
		default:
			n++
		}
	}
	return n
}

// medianLatencies returns the median latency of the run, and the median of the
// usual latencies on the same routes.
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
