package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/gateway/balance"
	"filbertmill.example/outcome"
	"filbertmill.example/pool"
)

const (
	// minTimeLeft is the least time in which another attempt is worth a target's slot.
	minTimeLeft = 40 * time.Millisecond
	// maxWithdrawn bounds the grants of one request that come to nothing because
	// their target is leaving or cannot be reached.
	maxUnusedGrants = 4
	// maxAgain bounds how often the targets that refused a request are asked
	// again once it may go to no other; againPause is the time before that.
	maxRefusingRetries = 3
	refusingRetryPause = 30 * time.Millisecond
	// hedgeFactor is how many times the usual latency an answer may take before
	// it counts as overdue, and hedgeShare the share of the latency objective
	// that it may take at most: the rest must suffice for another target's.
	hedgeFactor = 3
	hedgeShare  = 0.6
)

// carry has a request run by targets, one after another or, where its answer is
// overdue, by two at once.
func (n *Node) forward(ctx context.Context, r *request) result {
	f := newFlight(ctx, r, n.runAttempt, n.abort)
	defer f.cancel(nil)
	return f.run()
}

// errLeaving is the cause of a flight's end that comes because the process ends.
var errShuttingDown = errors.New("the node is going down")

// run carries the request to its end.
func (f *flight) run() result {
	f.start(balance.FirstAttempt)
	var hedge <-chan time.Time
	for {
		select {
		case g := <-f.grants:
			f.usedTargets = append(f.usedTargets, g.Target)
			if hedge == nil && f.r.idempotent {
				hedge = time.After(f.hedgeDelay(g.UsualLatency))
			}
		case e := <-f.results:
			switch {
			case !f.handleResult(e):
			case e.failed && f.ctx.Err() != nil:
				return f.resultAtContextEnd()
			default:
				return f.finalResult()
			}
		case <-hedge:
			hedge = nil
			if f.mayStart() {
				f.start(balance.HedgedAttempt)
			}
		case <-f.abort:
			f.abort = nil
			f.cancel(errShuttingDown)
		case <-f.ctx.Done():
			return f.resultAtContextEnd()
		}
	}
}

// flight is one request with its attempts.
type flight struct {
	r      *request
	ctx    context.Context
	cancel context.CancelCauseFunc
	// leaving is closed when work has to end because the process does.
	abort <-chan struct{}
	// try runs one attempt and calls granted before the exchange begins.
	runAttempt func(ctx context.Context, r *request, p attemptPlan, granted func(balance.Grant)) attemptResult
	results    chan attemptResult
	// grants receives the targets as attempts begin.
	grants chan balance.Grant
	// used names the targets that had the request, refusing those that did not
	// run it. Running and started count the attempts in work and begun, finished
	// those of used that ended; withdrawn those whose grant was not used, again
	// those on refusing targets.
	usedTargets     []string
	refusingTargets []string
	running         int
	finished        int
	started         int
	unusedGrants    int
	refusingRetries int
	// last is the end that is answered if no better one comes; sent says that
	// a target may have run the request.
	candidate  result
	mayHaveRun bool
}

// newFlight returns the flight of a request whose attempts are run by try.
func newFlight(
	ctx context.Context, r *request, try func(context.Context, *request, attemptPlan, func(balance.Grant)) attemptResult, leaving <-chan struct{},
) *flight {
	size := r.route.Attempts + maxUnusedGrants + maxRefusingRetries
	f := &flight{r: r, runAttempt: try, abort: leaving, results: make(chan attemptResult, size), grants: make(chan balance.Grant, size)}
	f.ctx, f.cancel = context.WithCancelCause(ctx)
	return f
}

// start begins an attempt on a target that has not had the request.
func (f *flight) start(repeat balance.AttemptKind) {
	f.started++
	f.launch(0, attemptPlan{
		kind: repeat, exclude: hashTargets(f.usedTargets), last: f.started-f.unusedGrants >= f.r.route.Attempts,
	})
}

// startAgain begins an attempt on a target that refused the request: it may go
// to no other, and what refuses one request may take the next.
func (f *flight) retryRefusing() {
	f.refusingRetries++
	f.launch(refusingRetryPause, attemptPlan{kind: balance.RetryAfterRefusal, only: hashTargets(f.refusingTargets), last: f.refusingRetries == maxRefusingRetries})
}

// launch runs an attempt beside this goroutine after a pause.
func (f *flight) launch(pause time.Duration, p attemptPlan) {
	f.running++
	go func() {
		if pause > 0 {
			time.Sleep(pause)
		}
		f.results <- f.runAttempt(f.ctx, f.r, p, func(g balance.Grant) { f.grants <- g })
	}()
}

func hashTargets(names []string) []balance.TargetHash {
	list := make([]balance.TargetHash, len(names))
	for i, name := range names {
		list[i] = balance.HashTarget(name)
	}
	return list
}

// mayStart reports whether a further target may have the request.
func (f *flight) mayStart() bool {
	return f.started-f.unusedGrants < f.r.route.Attempts && f.hasTimeLeft()
}

// mayAskAgain reports whether a refusing target may be asked again.
func (f *flight) mayRetryRefusing() bool {
	return len(f.refusingTargets) > 0 && f.refusingRetries < maxRefusingRetries && f.running == 0 && f.hasTimeLeft()
}

// worthwhile says whether enough time is left for another attempt.
func (f *flight) hasTimeLeft() bool {
	return time.Until(f.r.deadline) > minTimeLeft && f.ctx.Err() == nil
}

// hedgeDelay is how long the first answer is waited for alone.
func (f *flight) hedgeDelay(usual time.Duration) time.Duration {
	objective := f.r.route.LatencyObjective
	if objective <= 0 {
		objective = time.Until(f.r.deadline)
	}
	bound := time.Duration(hedgeShare * float64(objective))
	if usual <= 0 {
		return bound
	}
	return min(hedgeFactor*usual, bound)
}

// take takes the end of an attempt; it reports whether the request is answered.
func (f *flight) handleResult(e attemptResult) bool {
	f.running--
	f.receiveGrants()
	if e.granted {
		f.finished++
	}
	f.mayHaveRun = f.mayHaveRun || (e.sent && !e.notRun)
	if !e.failed {
		f.candidate = e.result
		return true
	}
	f.updateCandidate(e)
	switch {
	case !e.granted && e.verdict == pool.VerdictRefused, e.granted && !e.sent:
		f.unusedGrants++
	case !e.granted:
		// Nobody has a target for it; another request would not change that.
		return f.running == 0
	case e.verdict == pool.VerdictRefused:
		f.refusingTargets = append(f.refusingTargets, e.targetName)
	}
	switch {
	case !e.notRun && !f.r.idempotent:
	case f.mayStart() && f.unusedGrants < maxUnusedGrants:
		f.start(retryKind(e))
	case f.mayRetryRefusing():
		f.retryRefusing()
	}
	return f.running == 0
}

// drainGrants takes what is known of targets in use before the next is chosen.
func (f *flight) receiveGrants() {
	for {
		select {
		case g := <-f.grants:
			f.usedTargets = append(f.usedTargets, g.Target)
		default:
			return
		}
	}
}

// keep remembers the end that says most: a target's own answer, or else one
// that may have run, or else the latest.
func (f *flight) updateCandidate(e attemptResult) {
	switch {
	case f.candidate.response != nil && e.response == nil:
	case f.candidate.outcome.Kind == outcome.Unknown && e.notRun:
	case !e.granted && f.candidate.outcome.Reason != "":
		// The reason of the attempt before says more; the wait is the later one's.
		f.candidate.outcome.RetryAfter = max(f.candidate.outcome.RetryAfter, e.outcome.RetryAfter)
	default:
		f.candidate = e.result
	}
}

// best returns the answer.
func (f *flight) finalResult() result {
	if f.mayHaveRun && f.candidate.outcome.Kind == outcome.NotRun {
		return result{outcome: outcome.New(outcome.ReasonConnectionLost, "an earlier attempt may have run", 0), target: f.candidate.target}
	}
	return f.candidate
}

// ended returns the answer once the context has ended: with the caller's
// patience, its connection, or the process.
func (f *flight) resultAtContextEnd() result {
	cause := context.Cause(f.ctx)
	if cause != context.DeadlineExceeded && cause != errShuttingDown {
		return result{outcome: outcome.New(outcome.ReasonCallerLeft, "", 0)}
	}
	f.receiveGrants()
	if f.handleReadyResults() || f.candidate.response != nil {
		return f.candidate
	}
	reason, unsent := outcome.ReasonTimeout, outcome.ReasonTooLate
	if cause == errShuttingDown {
		reason, unsent = outcome.ReasonInterrupted, outcome.ReasonShutdown
	}
	// An attempt that begins from now on sees that the context has ended.
	if f.mayHaveRun || f.finished < len(f.usedTargets) {
		return result{outcome: outcome.New(reason, "", 0), target: f.usedTargets[len(f.usedTargets)-1]}
	}
	return refusedResult(unsent, minRetryAfter)
}

// takeReady takes the ends that came together with the context's; it reports
// whether the request is answered.
func (f *flight) handleReadyResults() bool {
	for {
		select {
		case e := <-f.results:
			if f.handleResult(e) && !e.failed {
				return true
			}
		default:
			return false
		}
	}
}

// repeatAfter says why an attempt follows one that ended so.
func retryKind(e attemptResult) balance.AttemptKind {
	switch {
	case !e.sent:
		return balance.Redirect
	case e.notRun:
		return balance.RetryAfterRefusal
	}
	return balance.RetryAfterFailure
}
