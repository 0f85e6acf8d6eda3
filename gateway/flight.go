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
	// minTimeLeft is the least time to the deadline in which another attempt is
	// worth a target's slot.
	minTimeLeft = 40 * time.Millisecond
	// maxUnusedGrants limits the grants of one request that cannot be used because
	// their target is leaving or unreachable.
	maxUnusedGrants = 4
	// maxRefusingRetries limits how often a request that may go to no further
	// target is sent again to the targets that refused it. refusingRetryPause is
	// the delay before each of these attempts.
	maxRefusingRetries = 3
	refusingRetryPause = 30 * time.Millisecond
)

// forward has targets run a request, one after another or, if an answer is
// overdue, two concurrently.
func (n *Node) forward(ctx context.Context, r *request) result {
	f := newFlight(ctx, r, n.runAttempt, n.abort)
	defer f.cancel(nil)
	return f.run()
}

// errShuttingDown is the cancellation cause of requests that are aborted because
// the process exits.
var errShuttingDown = errors.New("the node is shutting down")

// run runs attempts until the request has a result.
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
		case res := <-f.results:
			switch {
			case !f.handleResult(res):
				if f.hedgeRefused {
					f.hedgeRefused, hedge = false, time.After(hedgePause)
				}
			case res.failed && f.ctx.Err() != nil:
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

// flight is a request in flight with its attempts. It retries and hedges the
// request within the limits of its route. Only run and the methods that it calls
// use its fields; attempts run in goroutines of their own and send their results
// to run over channels.
type flight struct {
	r      *request
	ctx    context.Context
	cancel context.CancelCauseFunc
	// abort is closed when requests are aborted because the process exits.
	abort <-chan struct{}
	// runAttempt runs one attempt and calls granted before the exchange begins.
	runAttempt func(ctx context.Context, r *request, p attemptPlan, granted func(balance.Grant)) attemptResult
	results    chan attemptResult
	// grants receives the grant of each attempt before its exchange begins.
	grants chan balance.Grant
	// usedTargets names the targets to which the request was assigned, and
	// refusingTargets those of them that refused it.
	usedTargets     []string
	refusingTargets []string
	// running counts the attempts in progress, and finished the ended attempts
	// that had been granted a target.
	running  int
	finished int
	// started counts the attempts begun on targets that had not had the request,
	// unusedGrants those of them whose grant could not be used, and refusingRetries
	// the attempts on refusing targets.
	started         int
	unusedGrants    int
	refusingRetries int
	// hedgeRefused is set if a hedged attempt got no target while another runs.
	hedgeRefused bool
	// candidate is the result to return unless a better one follows. mayHaveRun is
	// set if a target may have run the request.
	candidate  result
	mayHaveRun bool
}

// newFlight returns the flight of a request whose attempts are run by runAttempt.
func newFlight(
	ctx context.Context, r *request, runAttempt func(context.Context, *request, attemptPlan, func(balance.Grant)) attemptResult, abort <-chan struct{},
) *flight {
	size := r.route.Attempts + maxUnusedGrants + maxRefusingRetries
	f := &flight{r: r, runAttempt: runAttempt, abort: abort, results: make(chan attemptResult, size), grants: make(chan balance.Grant, size)}
	f.ctx, f.cancel = context.WithCancelCause(ctx)
	return f
}

// start begins an attempt on a target that has not yet been sent the request.
func (f *flight) start(kind balance.AttemptKind) {
	f.started++
	f.launch(0, attemptPlan{
		kind: kind, exclude: hashTargets(f.usedTargets), last: f.started-f.unusedGrants >= f.r.route.Attempts,
	})
}

// retryRefusing begins an attempt on a target that refused the request. The
// request may go to no other target, and a target that refuses one request may
// accept the next.
func (f *flight) retryRefusing() {
	f.refusingRetries++
	f.launch(refusingRetryPause, attemptPlan{kind: balance.RetryAfterRefusal, only: hashTargets(f.refusingTargets), last: f.refusingRetries == maxRefusingRetries})
}

// launch runs an attempt in a goroutine of its own after a pause.
func (f *flight) launch(pause time.Duration, p attemptPlan) {
	f.running++
	go func() {
		if pause > 0 {
			time.Sleep(pause)
		}
		res := f.runAttempt(f.ctx, f.r, p, func(g balance.Grant) { f.grants <- g })
		res.kind = p.kind
		f.results <- res
	}()
}

func hashTargets(names []string) []balance.TargetHash {
	list := make([]balance.TargetHash, len(names))
	for i, name := range names {
		list[i] = balance.HashTarget(name)
	}
	return list
}

// mayStart reports whether the request may be sent to a further target.
func (f *flight) mayStart() bool {
	return f.started-f.unusedGrants < f.r.route.Attempts && f.hasTimeLeft()
}

// mayRetryRefusing reports whether the request may be sent again to a target that
// refused it.
func (f *flight) mayRetryRefusing() bool {
	return len(f.refusingTargets) > 0 && f.refusingRetries < maxRefusingRetries && f.running == 0 && f.hasTimeLeft()
}

// hasTimeLeft reports whether enough time is left for another attempt.
func (f *flight) hasTimeLeft() bool {
	return time.Until(f.r.deadline) > minTimeLeft && f.ctx.Err() == nil
}

// handleResult processes the result of an attempt and starts the next attempt if
// one is due. It reports whether the request has its result: the attempt
// succeeded, or no attempt is running.
func (f *flight) handleResult(res attemptResult) bool {
	f.running--
	f.receiveGrants()
	if res.granted {
		f.finished++
	}
	f.mayHaveRun = f.mayHaveRun || (res.sent && !res.notRun)
	if !res.failed {
		f.candidate = res.result
		return true
	}
	if res.kind == balance.HedgedAttempt && !res.granted {
		return f.handleRefusedHedge()
	}
	f.updateCandidate(res)
	switch {
	case !res.granted && res.verdict == pool.VerdictRefused, res.granted && !res.sent:
		f.unusedGrants++
	case !res.granted:
		// No target is available for the request. Asking again would not change that.
		return f.running == 0
	case res.verdict == pool.VerdictRefused && res.advice.Pause == 0:
		f.refusingTargets = append(f.refusingTargets, res.targetName)
	}
	switch {
	case !res.notRun && !f.r.idempotent:
	case f.mayStart() && f.unusedGrants < maxUnusedGrants:
		f.start(retryKind(res))
	case f.mayRetryRefusing():
		f.retryRefusing()
	}
	return f.running == 0
}

// receiveGrants records the targets granted so far, before the next is chosen.
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

// updateCandidate keeps the most informative result: an answer of a target, else
// that of an attempt that may have run, else the latest.
func (f *flight) updateCandidate(res attemptResult) {
	switch {
	case f.candidate.response != nil && res.response == nil:
	case f.candidate.outcome.Kind == outcome.Unknown && res.notRun:
	case !res.granted && f.candidate.outcome.Reason != "":
		// The reason of the earlier attempt is more informative, so only the wait can
		// come from the later one.
		f.candidate.outcome.RetryAfter = max(f.candidate.outcome.RetryAfter, res.outcome.RetryAfter)
	default:
		f.candidate = res.result
	}
}

// finalResult returns the result of the request. A request that may have run in an
// earlier attempt is not reported as not run.
func (f *flight) finalResult() result {
	if f.mayHaveRun && f.candidate.outcome.Kind == outcome.NotRun {
		return result{outcome: outcome.New(outcome.ReasonConnectionLost, "an earlier attempt may have run", 0), target: f.candidate.target}
	}
	return f.candidate
}

// resultAtContextEnd returns the result once the context has ended: at the
// deadline, because the caller has left, or because the process exits.
func (f *flight) resultAtContextEnd() result {
	cause := context.Cause(f.ctx)
	if cause != context.DeadlineExceeded && cause != errShuttingDown {
		return result{outcome: outcome.New(outcome.ReasonCallerLeft, "", 0)}
	}
	f.receiveGrants()
	if f.handleReadyResults() || f.candidate.response != nil {
		return f.candidate
	}
	reason, notRunReason := outcome.ReasonTimeout, outcome.ReasonTooLate
	if cause == errShuttingDown {
		reason, notRunReason = outcome.ReasonInterrupted, outcome.ReasonShutdown
	}
	// An attempt that begins from now on finds that its context has ended.
	if f.mayHaveRun || f.finished < len(f.usedTargets) {
		return result{outcome: outcome.New(reason, "", 0), target: f.usedTargets[len(f.usedTargets)-1]}
	}
	return refusedResult(notRunReason, minRetryAfter)
}

// handleReadyResults processes the results that are already available when the
// context ends. It reports whether one of them answers the request.
func (f *flight) handleReadyResults() bool {
	for {
		select {
		case res := <-f.results:
			if f.handleResult(res) && !res.failed {
				return true
			}
		default:
			return false
		}
	}
}

// retryKind returns the kind of the attempt that follows a failed one.
func retryKind(res attemptResult) balance.AttemptKind {
	switch {
	case !res.sent:
		return balance.Redirect
	case res.notRun:
		return balance.RetryAfterRefusal
	}
	return balance.RetryAfterFailure
}
