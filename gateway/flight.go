package gateway

import (
	"context"
	"time"

	"filbertmill.example/gateway/balance"
	"filbertmill.example/outcome"
	"filbertmill.example/pool"
)

// minTimeLeft is the least time in which another attempt is worth a target's slot.
const minTimeLeft = 40 * time.Millisecond

// carry has a request run by targets, one after another or, where its answer is
// overdue, by two at once.
func (n *Node) carry(ctx context.Context, r *request) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &flight{node: n, r: r, ctx: ctx, ends: make(chan end, r.route.Attempts+maxWithdrawn), grants: make(chan string, r.route.Attempts+maxWithdrawn)}
	f.start(balance.First)
	var hedge <-chan time.Time
	for {
		select {
		case target := <-f.grants:
			f.used = append(f.used, target)
			if hedge == nil && r.idempotent {
				hedge = time.After(f.hedgeDelay())
			}
		case e := <-f.ends:
			if f.take(e) {
				return f.best()
			}
		case <-hedge:
			hedge = nil
			if f.mayStart() {
				f.start(balance.Hedge)
			}
		case <-ctx.Done():
			return f.expired()
		}
	}
}

// maxWithdrawn bounds the grants of one request that are not used because their
// target is leaving.
const maxWithdrawn = 4

// flight is one request with its attempts.
type flight struct {
	node *Node
	r    *request
	ctx  context.Context
	ends chan end
	// grants receives the targets as attempts begin.
	grants chan string
	// used names the targets that had the request; running and started count
	// the attempts in work and begun.
	used      []string
	running   int
	started   int
	withdrawn int
	// last is the end that is answered if no better one comes; sent says that
	// a target may have run the request.
	last result
	sent bool
}

// start begins an attempt.
func (f *flight) start(repeat balance.Repeat) {
	f.started++
	f.running++
	exclude := make([]balance.TargetHash, len(f.used))
	for i, name := range f.used {
		exclude[i] = balance.HashTarget(name)
	}
	last := f.started-f.withdrawn >= f.r.route.Attempts
	go func() {
		f.ends <- f.node.try(f.ctx, f.r, repeat, exclude, last, func(target string) { f.grants <- target })
	}()
}

// mayStart reports whether another attempt is allowed and worth its while.
func (f *flight) mayStart() bool {
	return f.started-f.withdrawn < f.r.route.Attempts && time.Until(f.r.deadline) > minTimeLeft && f.ctx.Err() == nil
}

// hedgeDelay is how long the first answer is waited for alone.
func (f *flight) hedgeDelay() time.Duration {
	objective := f.r.route.LatencyObjective
	if objective <= 0 {
		objective = time.Until(f.r.deadline)
	}
	return time.Duration(hedgeShare * float64(objective))
}

// hedgeShare is the share of the latency objective after which an answer
// counts as overdue; the rest must suffice for another target's.
const hedgeShare = 0.6

// take takes the end of an attempt; it reports whether the request is answered.
func (f *flight) take(e end) bool {
	f.running--
	f.drainGrants()
	f.sent = f.sent || (e.sent && !e.notRun)
	if !e.failed {
		f.last = e.result
		return true
	}
	f.keep(e)
	switch {
	case !e.granted && e.verdict == pool.VerdictRefused:
		f.withdrawn++
	case !e.granted:
		// Nobody has a target for it; another request would not change that.
		return f.running == 0
	}
	if (e.notRun || f.r.idempotent) && f.mayStart() && f.withdrawn < maxWithdrawn {
		f.start(repeatAfter(e, f.started-f.withdrawn))
	}
	return f.running == 0
}

// drainGrants takes what is known of targets in use before the next is chosen.
func (f *flight) drainGrants() {
	for {
		select {
		case target := <-f.grants:
			f.used = append(f.used, target)
		default:
			return
		}
	}
}

// keep remembers the end that says most: a target's own answer, or else one
// that may have run, or else the latest.
func (f *flight) keep(e end) {
	switch {
	case f.last.response != nil && e.response == nil:
	case f.last.outcome.Kind == outcome.Unknown && e.notRun:
	default:
		f.last = e.result
	}
}

// best returns the answer.
func (f *flight) best() result {
	if f.sent && f.last.outcome.Kind == outcome.NotRun {
		return result{outcome: outcome.New(outcome.ReasonConnectionLost, "an earlier attempt may have run", 0), target: f.last.target}
	}
	return f.last
}

// expired returns the answer at the end of the caller's patience.
func (f *flight) expired() result {
	if context.Cause(f.ctx) != context.DeadlineExceeded {
		return result{outcome: outcome.New(outcome.ReasonCallerLeft, "", 0)}
	}
	f.drainGrants()
	if f.last.response != nil {
		return f.last
	}
	if len(f.used) > 0 {
		return result{outcome: outcome.New(outcome.ReasonTimeout, "", 0)}
	}
	return refused(outcome.ReasonTooLate, minRetryAfter)
}

// repeatAfter says why an attempt follows one that ended so.
func repeatAfter(e end, earlier int) balance.Repeat {
	switch {
	case earlier == 0:
		return balance.First
	case e.notRun:
		return balance.AfterRefusal
	}
	return balance.AfterFailure
}
