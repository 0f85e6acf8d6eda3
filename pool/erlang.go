package pool

import "math"

// waitQuantile is the quantile of the wait of short attempts that limits long work.
const waitQuantile = 0.99

// quantileWait returns the waitQuantile of the wait for one of the slots, in mean
// service times, if requests arrive at random and keep load slots busy on average.
func quantileWait(slots int, load float64) float64 {
	free := float64(slots) - load
	if free <= 0 {
		return math.Inf(1)
	}
	return max(0, math.Log(waitProbability(slots, load)/(1-waitQuantile))/free)
}

// waitProbability returns the Erlang C formula: the probability that an
// arrival finds all slots busy.
func waitProbability(slots int, load float64) float64 {
	blocked := 1.0
	for n := 1; n <= slots; n++ {
		blocked = load * blocked / (float64(n) + load*blocked)
	}
	free := 1 - load/float64(slots)
	return blocked / (free + (1-free)*blocked)
}
