package gateway

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/exchange"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/node/attempt"
	"filbertmill.example/outcome"
	"filbertmill.example/platform"
	"filbertmill.example/pool"
)

// end is how one attempt ended.
type attemptResult struct {
	result
	verdict pool.Verdict
	// granted says that the attempt was given a target, and sent that bytes of
	// the request may have reached it.
	granted bool
	sent    bool
	// notRun says that it is proved that the target did not run the request.
	notRun bool
	failed bool
	// name is the target's name.
	targetName string
	// breach is what the target sent in place of an answer.
	breach exchange.Breach
	// idle is how long the connection had been unused, or 0 if it was new.
	idle time.Duration
}

// plan says on which targets an attempt may run, and why there is one.
type attemptPlan struct {
	kind    balance.AttemptKind
	exclude []balance.TargetHash
	only    []balance.TargetHash
	// last says that no further attempt will follow.
	last bool
}

// try runs an attempt as attempt does; one that panics has failed, and may have
// run if it was granted a target.
func (n *Node) runAttempt(ctx context.Context, r *request, p attemptPlan, granted func(balance.Grant)) (e attemptResult) {
	var grant balance.Grant
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		n.logPanic(v, debug.Stack(), "request", r.id, "target", grant.Target)
		if grant.Target == "" {
			e = attemptResult{result: refusedResult(outcome.ReasonNoTarget, minRetryAfter), notRun: true, failed: true}
			return
		}
		e = attemptResult{granted: true, sent: true, failed: true, verdict: pool.VerdictCancelled, targetName: grant.Target}
		e.outcome = outcome.New(outcome.ReasonConnectionLost, "the attempt panicked", 0)
	}()
	return n.attempt(ctx, r, p, func(g balance.Grant) {
		grant = g
		granted(g)
	})
}

// attempt asks for a target and runs the request on it once. Granted is called
// before the exchange begins.
func (n *Node) attempt(ctx context.Context, r *request, p attemptPlan, granted func(balance.Grant)) attemptResult {
	a := balance.Attempt{
		ID:      balance.ID{Node: n.runNumber, Number: n.attempts.Add(1)},
		Service: r.service, Route: r.route.Name, Request: r.id, Idempotent: r.idempotent,
		Priority: r.route.Priority, TimeLeft: time.Until(r.deadline), Exclude: p.exclude, Only: p.only, Kind: p.kind, Last: p.last,
		Fingerprint: r.fingerprint, Prefer: n.connected(r.service), Avoid: n.unreachable.current(time.Now()),
		ObjectiveTimeLeft: time.Until(r.due), AvailabilityZone: n.settings.AvailabilityZone,
	}
	lease, err := n.homes.Acquire(ctx, a)
	if err != nil {
		return attemptResult{result: refusedResult(unassignedReason(ctx), 0), notRun: true, failed: true}
	}
	if lease.Target == "" {
		e := attemptResult{result: refusedResult(lease.Reason, lease.RetryAfter), notRun: true, failed: true}
		e.home = lease.Home
		return e
	}
	rep := balance.Report{Verdict: pool.VerdictCancelled}
	defer func() {
		rep.ID, rep.Service = a.ID, a.Service
		lease.Finish(rep)
	}()
	t, ok := n.replica.View().Target(r.service, lease.Target)
	if !ok || t.Leaving {
		rep.Leaving = t.Leaving
		n.log.Info("grant not used: the target is leaving or gone", "request", r.id, "target", lease.Target, "home", lease.Home)
		return attemptResult{result: refusedResult(outcome.ReasonNoTarget, minRetryAfter), notRun: true, failed: true, verdict: pool.VerdictRefused}
	}
	granted(lease.Grant)
	start := time.Now()
	e := n.send(ctx, r, t)
	crashed := e.verdict == pool.VerdictReset && lease.SuspectedPoison && isDown(t.Address)
	e.granted, e.target, e.targetName, e.home = true, t.ID, lease.Target, lease.Home
	n.unreachable.record(time.Now(), lease.Target, e.verdict)
	rep = balance.Report{Verdict: e.verdict, Latency: time.Since(start), Crashed: crashed}
	n.stats.attempts.Add(e.verdict.String(), 1)
	if e.breach != "" {
		n.stats.brokenAnswers.Add(string(e.breach), 1)
	}
	line := n.log.Info
	if e.verdict == pool.VerdictAnswered && p.kind == balance.FirstAttempt {
		line = n.log.Debug // the line on the answer says it all
	}
	line("attempt ended", "request", r.id, "service", r.service, "target", t.ID, "home", lease.Home, "verdict", e.verdict.String(),
		"latency_ms", time.Since(start).Milliseconds(), "repeat", p.kind, "waited_ms", lease.Waited.Milliseconds(),
		"left", lease.TokensLeft, "idle_ms", e.idle.Milliseconds(), "breach", string(e.breach), "detail", e.outcome.Detail)
	return e
}

// connected returns the targets of a service to which a connection is held.
func (n *Node) connected(service string) []balance.TargetHash {
	var names []balance.TargetHash
	for _, t := range n.replica.View().Targets[service] {
		if n.targets.Idle(t.Address) {
			names = append(names, balance.HashTarget(t.Name()))
		}
	}
	return names
}

// endReason says why a request ended that no target had.
func unassignedReason(ctx context.Context) outcome.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.ReasonTooLate
	}
	return outcome.ReasonCallerLeft
}

// isDown reports whether nothing listens at a target any more.
func isDown(address string) bool {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return true
	}
	_ = c.Close()
	return false
}

// send runs the request on a target.
func (n *Node) send(ctx context.Context, r *request, t platform.Target) attemptResult {
	out := r.newTargetRequest()
	out.Header.Set(platform.HeaderTimeLeft, platform.FormatTimeLeft(time.Until(r.deadline)))
	out.Header.Set(platform.HeaderExpectTarget, t.ID)
	ans, f := n.targets.Do(ctx, exchange.Call{
		Address: t.Address, Request: out, MaxResponseBytes: r.route.MaxResponseBytes, Unframed: true,
	})
	var body *exchange.Whole
	var idle time.Duration
	if f == nil {
		idle = ans.Idle
		var err error
		lease := n.memory.Lease()
		body, err = ans.Body.ReadWhole(lease)
		_ = ans.Body.Close()
		if err != nil {
			f = attempt.AsFailure(err)
		} else {
			r.leases.add(lease)
		}
	}
	if f != nil {
		e := failedResult(f)
		e.idle = max(idle, f.Idle)
		return e
	}
	e := answeredResult(ans.Response, body)
	e.idle = idle
	return e
}

// failedEnd is the end of an exchange without a whole answer.
func failedResult(f *exchange.Failure) attemptResult {
	return attemptResult{
		result:  result{outcome: outcome.New(attempt.Reason(f), f.Error(), 0)},
		verdict: attempt.Verdict(f),
		sent:    !f.NotSent(),
		notRun:  f.NotSent(),
		failed:  true,
		breach:  f.Breach(),
	}
}

// answeredEnd is the end of an exchange with a whole answer.
func answeredResult(resp *protocol.Response, body *exchange.Whole) attemptResult {
	status := resp.StatusCode()
	if status == platform.StatusMisdirected || len(resp.Header.Peek(platform.HeaderNotRun)) > 0 {
		e := attemptResult{verdict: pool.VerdictRefused, sent: true, notRun: true, failed: true}
		e.result = refusedResult(outcome.ReasonTargetRefused, platform.ParseRetryAfter(string(resp.Header.Peek(platform.HeaderRetryAfter))))
		if status == platform.StatusMisdirected {
			e.verdict = pool.VerdictUnreachable
		}
		return e
	}
	if b, ok := body.Bytes(); ok {
		resp.SetBodyRaw(b)
	} else {
		resp.SetBodyStream(body.Reader(), int(body.Size()))
	}
	e := attemptResult{
		result:  result{outcome: outcome.New(outcome.ReasonAnswered, "", 0), response: resp},
		verdict: pool.VerdictAnswered,
		sent:    true,
	}
	if status >= http.StatusInternalServerError {
		e.verdict, e.failed = pool.VerdictServerError, true
	}
	return e
}
