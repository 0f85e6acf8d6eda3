package node

import (
	"context"
	"time"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/pool"
	"filbertmill.example/retry"
)

// retryFloor is the number of second attempts that a quiet service may make in
// each window of its budget.
const retryFloor = 3

// retryConfig derives a service's budget from the fleet configuration.
func retryConfig(svc *dynamic.Service) retry.Config {
	return retry.Config{Share: svc.RetryShare, MinPerWindow: retryFloor}
}

// mayRetry reports whether the request may be offered to another target, and
// takes the attempt from the service's budget if so. Tried is the number of
// targets that have failed it.
func (n *Node) mayRetry(ctx context.Context, r *request, a targetAttempt, tried int) bool {
	if ctx.Err() != nil || !a.repeatable(r) {
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

// notRun reports whether it is proved that the target did not run the request.
func (a *targetAttempt) notRun() bool {
	return a.verdict == pool.VerdictUnreachable || a.verdict == pool.VerdictRefused
}

// repeatable reports whether another attempt can neither run the request
// twice against its will nor mix two answers.
func (a *targetAttempt) repeatable(r *request) bool {
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

// retryCommand asks a service's budget for a second attempt.
type retryCommand struct {
	service string
	notRun  bool
	tried   int
	reply   chan<- bool
}

// apply holds second attempts back while requests wait, because they would
// take slots from first attempts; one that follows an attempt which took no
// slot's work does not.
func (m retryCommand) apply(c *controlLoop, now time.Time) {
	p := c.pools[m.service]
	if p == nil || m.tried >= len(p.endpoints) {
		m.reply <- false
		return
	}
	queued := !m.notRun && p.sched.Snapshot(now).Queued > 0
	m.reply <- p.retries.Take(now, queued)
}
