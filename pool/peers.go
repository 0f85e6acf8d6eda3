package pool

import (
	"cmp"
	"slices"
	"time"
)

const (
	// priorWeight is the weight, in samples, of the prior frequencies of a route.
	priorWeight = 20
	// runPriorWeight is the same for the frequencies within one run of samples.
	runPriorWeight = 20
	// recentWindow is the time over which the latest samples of each peer always
	// count, and recentSamplesMax their number.
	recentWindow     = 5 * time.Second
	recentSamplesMax = 4
	// slowRatioMin is how many times slower than its peers in the same window a
	// target must be to count as slow.
	slowRatioMin = 2
	// failedRatioMin is the same ratio for the share of failures.
	failedRatioMin = 2
	// peersTrimmed is the share of the worst peers that is left out of a comparison.
	peersTrimmed = 0.25
	// trimSamples is the least number of samples of each peer for that.
	trimSamples = 4
)

// frequencies holds the probability of each category.
type frequencies [numCategories]float64

// priorFrequencies are the frequencies assumed without samples.
var priorFrequencies = frequencies{0, 0, 0.45, 0.25, 0.15, 0.10, 0.04, 0.005, 0.01}

// minFrequencies are the lower bounds of the frequencies of a healthy target.
var minFrequencies = frequencies{0, 0.05, 0.05, 0.05, 0.05, 0.02, 0.006, 0.001, 0.001}

// standsOut reports whether the run is several times worse than the samples of
// peers in the same window. Likelihoods alone don't suffice: with many samples they
// make small differences look certain.
func (h *home) standsOut(now time.Time, t *target, run []sample, within map[*route]frequencies, alt alternative) bool {
	if !alt.failing {
		return medianLatencyRatio(run) >= slowRatioMin*h.peersLatencyRatio(t, run)
	}
	expected := 0.0
	for _, s := range run {
		expected += within[s.route][categoryFailed] + within[s.route][categoryHung]
	}
	expected = max(expected, h.peersFailureShare(now, t)*float64(len(run)))
	return float64(failures(run)) >= failedRatioMin*expected
}

// peersFailureShare returns the share of failures among the recent samples of t's
// peers.
func (h *home) peersFailureShare(now time.Time, t *target) float64 {
	failed, total := 0, 0
	for _, peer := range h.order {
		if peer == t {
			continue
		}
		window := peer.recentSamples(now)
		failed += failures(window)
		total += len(window)
	}
	return float64(failed) / float64(max(1, total))
}

// recentSamples returns at most recentSamplesMax samples of t, none older than
// recentWindow.
func (t *target) recentSamples(now time.Time) []sample {
	window := t.samplesSince(now.Add(-recentWindow))
	return window[max(0, len(window)-recentSamplesMax):]
}

// baselines returns the baseline for each route of the samples: the frequencies of
// t's peers, with a half-life of tallyHalfLife.
func (h *home) baselines(now time.Time, t *target, samples []sample) map[*route]frequencies {
	baselines := make(map[*route]frequencies)
	for _, s := range samples {
		if _, done := baselines[s.route]; !done {
			baselines[s.route] = h.baseline(now, s.route, t)
		}
	}
	return baselines
}

// baseline returns the frequencies on r of all targets but t.
func (h *home) baseline(now time.Time, r *route, t *target) frequencies {
	var sum frequencies
	total := 0.0
	for _, peer := range h.order {
		peerTally := r.tallies[peer]
		if peer == t || peerTally == nil {
			continue
		}
		peerTally.decay(now)
		for c := range sum {
			sum[c] += peerTally.counts[c]
		}
		total += peerTally.total
	}
	return blend(sum, total, priorFrequencies, priorWeight)
}

// blend combines counted categories with prior frequencies of the given weight.
func blend(sum frequencies, total float64, prior frequencies, weight float64) frequencies {
	var q frequencies
	for c := range q {
		q[c] = max(minFrequencies[c], (sum[c]+weight*prior[c])/(total+weight))
	}
	return q
}

// recentBaseline returns the baseline on r, with adverse frequencies raised to those
// in the recent samples of t's peers.
func (h *home) recentBaseline(now time.Time, t *target, r *route) frequencies {
	q := h.baseline(now, r, t)
	sum, total := h.countPeerSamples(t, r, func(peer *target) []sample { return peer.recentSamples(now) })
	return maxAdverse(q, blend(sum, total, q, runPriorWeight))
}

// baselinesDuring returns the baselines with adverse frequencies raised to those
// that t's peers have shown since the run began. It also returns the number of
// peers' samples since then.
func (h *home) baselinesDuring(now time.Time, t *target, run []sample, baselines map[*route]frequencies) (map[*route]frequencies, int) {
	within := make(map[*route]frequencies, len(baselines))
	since := firstStart(run)
	peerSamples := 0
	for r, q := range baselines {
		sum, total := h.countPeerSamples(t, r, func(peer *target) []sample { return peer.samplesSince(since) })
		peerSamples += int(total)
		recent := maxAdverse(q, h.recentBaseline(now, t, r))
		within[r] = maxAdverse(recent, blend(sum, total, q, runPriorWeight))
	}
	return within, peerSamples
}

// maxAdverse returns q with the frequencies of adverse categories raised to those
// of other.
func maxAdverse(q, other frequencies) frequencies {
	for c := categoryTail; c < numCategories; c++ {
		q[c] = max(q[c], other[c])
	}
	return q
}

// firstStart returns when the first attempt of the run started.
func firstStart(run []sample) time.Time {
	first := run[0].started
	for _, s := range run {
		if s.started.Before(first) {
			first = s.started
		}
	}
	return first
}

// medianLatencyRatio returns the median of the samples' latencies, in multiples of
// the usual latency on their routes.
func medianLatencyRatio(samples []sample) float64 {
	var ratios []float64
	for _, s := range samples {
		if !s.failed() && s.route.known() {
			ratios = append(ratios, s.latencyRatio())
		}
	}
	if len(ratios) == 0 {
		return 1
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

// peersLatencyRatio returns the median latency of t's peers since the run began, in
// multiples of the usual latency on their routes.
func (h *home) peersLatencyRatio(t *target, run []sample) float64 {
	var window []sample
	since := firstStart(run)
	for _, peer := range h.order {
		if peer != t {
			window = append(window, peer.samplesSince(since)...)
		}
	}
	return medianLatencyRatio(window)
}

// countPeerSamples counts the samples on r in the windows of t's peers. It leaves
// out the worst peers if each peer has enough samples.
func (h *home) countPeerSamples(t *target, r *route, window func(peer *target) []sample) (frequencies, float64) {
	var peers []peerCount
	trim := true
	for _, peer := range h.order {
		p := countSamples(window(peer), r)
		if peer == t || p.total == 0 {
			continue
		}
		trim = trim && p.total >= trimSamples
		peers = append(peers, p)
	}
	if trim {
		peers = withoutWorst(peers)
	}
	var sum frequencies
	total := 0.0
	for _, p := range peers {
		for c := range sum {
			sum[c] += p.counts[c]
		}
		total += p.total
	}
	return sum, total
}

// peerCount counts the samples of one peer in a window.
type peerCount struct {
	counts     frequencies
	total, bad float64
}

func countSamples(samples []sample, r *route) peerCount {
	var p peerCount
	for _, s := range samples {
		if s.route != r {
			continue
		}
		p.counts[s.category]++
		p.total++
		if s.category >= categoryExtreme {
			p.bad++
		}
	}
	return p
}

// withoutWorst leaves out the peers with the largest shares of bad samples.
func withoutWorst(peers []peerCount) []peerCount {
	slices.SortStableFunc(peers, func(a, b peerCount) int {
		return cmp.Compare(a.bad/a.total, b.bad/b.total)
	})
	return peers[:len(peers)-int(peersTrimmed*float64(len(peers)))]
}
