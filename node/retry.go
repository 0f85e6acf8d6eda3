package node

import (
	"context"
	"time"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/pool"
	"filbertmill.example/retry"
)

// minRetriesPerWindow is the number of second attempts (retries) that a service
// with few requests may make in each window of its budget.
const minRetriesPerWindow = 3

// retryConfig derives a service's budget from the fleet configuration.
func retryConfig(svc *dynamic.Service) retry.Config {
	return retry.Config{Share: svc.RetryShare, MinPerWindow: minRetriesPerWindow}
}

// mayRetry reports whether the request may be sent to another target. If so,
// the retry is taken from the service's budget. tried is the number of targets
// on which the request failed.
func (n *Node) mayRetry(ctx context.Context, r *request, a targetAttempt, tried int) bool {
	if ctx.Err() != nil || !a.retryable(r) {
		return false
	}
	reply := make(chan bool, 1)
	if !n.control.send(retryCommand{service: r.service.Name, notRun: a.notRun(), tried: tried, reply: reply}) {
		return false
	}
	select {
	case granted := <-reply:
		return granted
	case <-n.control.done:
		return false
	}
}

// notRun reports whether the target certainly did not run the request.
func (a *targetAttempt) notRun() bool {
	return a.verdict == pool.VerdictUnreachable || a.verdict == pool.VerdictRefused
}

// retryable reports whether a further attempt is safe: it neither runs a request
// twice that may run only once, nor mixes two answers.
func (a *targetAttempt) retryable(r *request) bool {
	if a.body != nil && a.body.stream != nil {
		return false
	}
	switch a.verdict {
	case pool.VerdictAnswered, pool.VerdictCancelled, pool.VerdictTimeout:
		return false
	}
	if a.notRun() {
		return r.body.replayable()
	}
	return r.resendable()
}

// retryCommand requests a second attempt from a service's budget.
type retryCommand struct {
	service string
	notRun  bool
	tried   int
	reply   chan<- bool
}

// apply refuses second attempts while requests are queued, because they would
// take slots from first attempts. A second attempt after one that was not run
// is exempt: the first one caused no work on its slot.
func (m retryCommand) apply(c *controlLoop, now time.Time) {
	p := c.pools[m.service]
	if p == nil || m.tried >= len(p.endpoints) {
		m.reply <- false
		return
	}
	queued := !m.notRun && p.sched.Snapshot(now).Queued > 0
	m.reply <- p.retries.Take(now, queued)
}
