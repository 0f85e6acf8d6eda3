package gateway

import (
	"time"

	"filbertmill.example/gateway/balance"
)

const (
	// hedgeFactor is the multiple of the usual latency after which an answer is
	// overdue. hedgeShare limits that wait to a share of the latency objective,
	// because the rest must suffice for the answer of another target.
	hedgeFactor = 3
	hedgeShare  = 0.6
	// hedgePause is the time after which a hedged attempt that got no target is made
	// again. Homes refuse hedged attempts while other attempts wait.
	hedgePause = 150 * time.Millisecond
)

// hedgeDelay returns how long to wait for the first answer before a hedged
// request is sent; usual is the usual latency, or 0 if it is not known.
func (f *flight) hedgeDelay(usual time.Duration) time.Duration {
	objective := f.r.route.LatencyObjective
	if objective <= 0 {
		objective = time.Until(f.r.deadline)
	}
	longest := time.Duration(hedgeShare * float64(objective))
	if usual <= 0 {
		return longest
	}
	return min(hedgeFactor*usual, longest)
}

// handleRefusedHedge processes a hedged attempt that got no target, which does not
// count as an attempt. It reports whether the request has its result: the attempt
// that was hedged has failed in the meantime, and no other may follow.
func (f *flight) handleRefusedHedge() bool {
	f.started--
	switch {
	case f.running > 0:
		f.hedgeRefused = true
	case f.mayStart():
		f.start(balance.RetryAfterFailure)
	}
	return f.running == 0
}
