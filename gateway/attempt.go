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
	"filbertmill.example/gateway/replica"
	"filbertmill.example/node/attempt"
	"filbertmill.example/outcome"
	"filbertmill.example/platform"
	"filbertmill.example/pool"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	result
	verdict pool.Verdict
	// kind is why the attempt was made.
	kind balance.AttemptKind
	// granted is set if the attempt was assigned a target, and sent if bytes of
	// the request may have reached that target.
	granted bool
	sent    bool
	// notRun is set if the target has provably not run the request.
	notRun bool
	// lost is set if the connection was lost after the request was sent.
	lost   bool
	failed bool
	// targetName is the name of the assigned target.
	targetName string
	// breach is the kind of invalid answer that the target sent, if any.
	breach exchange.Breach
	// idle is how long the connection had been unused, or 0 if it was new.
	idle time.Duration
	// bytes is the size of the request and of its answer.
	bytes int64
	// adviceKnown is set if the target's answer could state advice, which is in result.
	adviceKnown bool
}

// attemptPlan states why an attempt is made and on which targets it may run.
type attemptPlan struct {
	kind    balance.AttemptKind
	exclude []balance.TargetHash
	only    []balance.TargetHash
	// last is set if no further attempt will follow.
	last bool
}

// runAttempt is attempt with a recovery from panics. An attempt that panics has
// failed. If it was granted a target, the target may have run the request.
func (n *Node) runAttempt(ctx context.Context, r *request, p attemptPlan, granted func(balance.Grant)) (res attemptResult) {
	var grant balance.Grant
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		n.logPanic(v, debug.Stack(), "request", r.id, "target", grant.Target)
		if grant.Target == "" {
			res = attemptResult{result: refusedResult(outcome.ReasonNoTarget, minRetryAfter), notRun: true, failed: true}
			return
		}
		res = attemptResult{granted: true, sent: true, failed: true, verdict: pool.VerdictCancelled, targetName: grant.Target}
		res.outcome = outcome.New(outcome.ReasonConnectionLost, "the attempt panicked", 0)
	}()
	return n.attempt(ctx, r, p, func(g balance.Grant) {
		grant = g
		granted(g)
	})
}

// newAttempt returns the question for a target for a request.
func (n *Node) newAttempt(r *request, p attemptPlan) balance.Attempt {
	a := balance.Attempt{
		Service: r.service, Route: r.route.Name, Request: r.id, Idempotent: r.idempotent,
		Priority: r.priority, TimeLeft: time.Until(n.workEnd(r.deadline)), Exclude: p.exclude, Only: p.only, Kind: p.kind, Last: p.last,
		Fingerprint: r.fingerprint, Prefer: n.connected(r.service), Avoid: n.unreachable.current(time.Now()), Paused: n.pauses.current(time.Now()),
		SoftTimeLeft: time.Until(r.softDeadline), AvailabilityZone: n.settings.AvailabilityZone,
	}
	if r.workspace != nil {
		a.Workspace = r.workspace.Name
	}
	return a
}

// attempt acquires a target and runs the request on it once. It calls granted
// before the exchange begins.
func (n *Node) attempt(ctx context.Context, r *request, p attemptPlan, granted func(balance.Grant)) attemptResult {
	a := n.newAttempt(r, p)
	a.ID = balance.ID{Node: n.runNumber, Number: n.attempts.Add(1)}
	a.RefusedBefore = n.refused.take(r.service)
	decision, err := n.homes.Acquire(ctx, a)
	if err != nil {
		return attemptResult{result: refusedResult(unassignedReason(ctx), 0), notRun: true, failed: true}
	}
	if decision.Target == "" {
		res := attemptResult{result: homeRefusal(decision.Grant), notRun: true, failed: true}
		if decision.Reason == outcome.ReasonTooLate && n.workEnd(r.deadline).Before(r.deadline) {
			// Only this node lacks the time, so that the caller need not wait.
			res.result = refusedResult(outcome.ReasonShutdown, minRetryAfter)
		}
		res.home = decision.Home
		return res
	}
	report := balance.Report{Verdict: pool.VerdictCancelled}
	defer func() {
		report.ID, report.Service = a.ID, a.Service
		decision.Finish(report)
	}()
	n.follower.AwaitCurrent(ctx)
	view, copyAge := n.replica.View(), n.follower.CopyAge()
	target, ok := view.Target(r.service, decision.Target)
	if !ok || target.Leaving {
		report.Leaving = target.Leaving
		n.log.Info("grant not used: the target is leaving or gone", "request", r.id, "target", decision.Target, "home", decision.Home,
			"listed_at", view.Revision)
		return unusedGrant()
	}
	if !n.homes.Accepts(r.service, decision) || n.pauses.paused(time.Now(), decision.Target) {
		n.log.Info("grant not used: the target does not accept the request", "request", r.id, "target", decision.Target, "home", decision.Home,
			"permit", decision.Permit)
		return unusedGrant()
	}
	if n.mayAbort(r, decision.UsualLatency) {
		n.log.Info("grant not used: the process ends too soon", "request", r.id, "target", decision.Target, "home", decision.Home,
			"usual_ms", decision.UsualLatency.Milliseconds())
		return attemptResult{result: refusedResult(outcome.ReasonShutdown, minRetryAfter), notRun: true, failed: true}
	}
	granted(decision.Grant)
	start := time.Now()
	res := n.send(ctx, r, target, p)
	crashed := res.lost && decision.SuspectedPoison && isDown(target.Address)
	res.granted, res.target, res.targetName, res.home = true, target.ID, decision.Target, decision.Home
	res.listedAt, res.copyAge = view.Revision, copyAge
	n.unreachable.record(time.Now(), decision.Target, res.verdict)
	report = balance.Report{Verdict: res.verdict, Latency: time.Since(start), Bytes: res.bytes, Lost: res.lost, Crashed: crashed}
	n.hear(a, decision, start, &res, &report)
	n.stats.attempts.Add(res.verdict.String(), 1)
	if res.breach != "" {
		n.stats.brokenAnswers.Add(string(res.breach), 1)
	}
	n.stats.countAdvice(res.advice)
	logAttempt := n.log.Info
	if res.verdict == pool.VerdictAnswered && p.kind == balance.FirstAttempt {
		logAttempt = n.log.Debug // the "answered" line contains the same
	}
	logAttempt("attempt ended", append(adviceFields(res.advice), "request", r.id, "service", r.service, "target", target.ID, "home", decision.Home, "verdict", res.verdict.String(),
		"latency_ms", time.Since(start).Milliseconds(), "repeat", p.kind, "waited_ms", decision.Waited.Milliseconds(),
		"left", decision.TokensLeft, "listed_at", view.Revision, "copy_age_ms", copyAge.Milliseconds(), "idle_ms", res.idle.Milliseconds(), "breach", string(res.breach), "detail", res.outcome.Detail)...)
	return res
}

// unusedGrant returns the result of an attempt whose grant can't be used.
func unusedGrant() attemptResult {
	return attemptResult{result: refusedResult(outcome.ReasonNoTarget, minRetryAfter), notRun: true, failed: true, verdict: pool.VerdictRefused}
}

// connected returns the targets of a service to which this node holds an idle
// connection.
func (n *Node) connected(service string) []balance.TargetHash {
	var hashes []balance.TargetHash
	for _, t := range n.replica.View().Targets[service] {
		if n.targets.HasIdle(t.Address) {
			hashes = append(hashes, balance.HashTarget(t.Name()))
		}
	}
	return hashes
}

// unassignedReason returns the reason for the end of a request whose context
// ended before the request was assigned a target.
func unassignedReason(ctx context.Context) outcome.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.ReasonTooLate
	}
	return outcome.ReasonCallerLeft
}

// isDown reports whether a target no longer accepts connections.
func isDown(address string) bool {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return true
	}
	_ = c.Close()
	return false
}

// send sends the request of a planned attempt to a target and reads the complete answer.
func (n *Node) send(ctx context.Context, r *request, t platform.Target, p attemptPlan) attemptResult {
	out := r.newTargetRequest()
	out.Header.Set(platform.HeaderTimeLeft, platform.FormatTimeLeft(time.Until(r.deadline)))
	out.Header.Set(platform.HeaderExpectTarget, t.ID)
	answer, failure := n.targets.Do(ctx, exchange.Call{
		Address: t.Address, Request: out, MaxResponseBytes: r.route.MaxResponseBytes, Unframed: true,
		// On the connection of the earlier attempt, a late second copy of its answer
		// would be taken for the answer to this one, as both have the same id.
		NoReuse: len(p.only) > 0,
		MaxIdle: idleShare(n.replica.View(), t),
	})
	var body *exchange.BufferedBody
	var idle time.Duration
	if failure == nil {
		idle = answer.Idle
		var err error
		reservation := n.memory.NewReservationFor(r.Memory())
		body, err = answer.Body.ReadAll(reservation)
		_ = answer.Body.Close()
		if err != nil {
			failure = attempt.AsFailure(err)
		} else {
			r.reservations.add(reservation)
		}
	}
	if failure != nil {
		res := failedResult(failure)
		res.idle = max(idle, failure.Idle)
		return res
	}
	res := answeredResult(answer.Response, body)
	res.bytes = r.Content.Size() + body.Size()
	n.countZoneBytes(t.AvailabilityZone, "target "+r.route.Name, res.bytes)
	res.idle = idle
	n.readAdvice(&res, t, &answer.Response.Header)
	return res
}

// idleShare returns this host's part of the idle connections that a target accepts from
// the whole fleet, beside those in use: the MaxIdle of a Call.
func idleShare(view *replica.View, t platform.Target) int {
	svc := view.Service(t.Service)
	if svc == nil || svc.Connections <= 0 {
		return 0 // the target states no limit
	}
	if share := (svc.Connections - t.Slots) / max(len(view.Nodes), 1); share > 0 {
		return share
	}
	return -1
}

// failedResult returns the result of an exchange without a complete answer.
func failedResult(f *exchange.Failure) attemptResult {
	return attemptResult{
		result:  result{outcome: outcome.New(attempt.Reason(f), f.Error(), 0)},
		verdict: attempt.Verdict(f),
		sent:    !f.NotSent(),
		notRun:  f.NotSent(),
		lost:    attempt.Lost(f),
		failed:  true,
		breach:  f.Breach(),
	}
}

// callerRetryAfter returns when the caller of a refused request may come back by the
// target's answer. In a 503 that is a pause between the target and this host; others may
// serve the caller before.
func callerRetryAfter(resp *protocol.Response) time.Duration {
	if resp.StatusCode() == http.StatusServiceUnavailable {
		return 0
	}
	return platform.ParseRetryAfter(string(resp.Header.Peek(platform.HeaderRetryAfter)))
}

// answeredResult returns the result of an exchange with a complete answer. An
// answer in which the target states that it has not run the request is a refusal.
func answeredResult(resp *protocol.Response, body *exchange.BufferedBody) attemptResult {
	status := resp.StatusCode()
	if status == platform.StatusMisdirected || len(resp.Header.Peek(platform.HeaderNotExecuted)) > 0 {
		res := attemptResult{verdict: pool.VerdictRefused, sent: true, notRun: true, failed: true}
		res.result = refusedResult(outcome.ReasonTargetRefused, callerRetryAfter(resp))
		if status == platform.StatusMisdirected {
			res.verdict = pool.VerdictUnreachable
		}
		return res
	}
	if b, ok := body.Bytes(); ok {
		resp.SetBodyRaw(b)
	} else {
		resp.SetBodyStream(body.Reader(), int(body.Size()))
	}
	res := attemptResult{
		result:  result{outcome: outcome.New(outcome.ReasonAnswered, "", 0), response: resp},
		verdict: pool.VerdictAnswered,
		sent:    true,
	}
	if status >= http.StatusInternalServerError {
		res.verdict, res.failed = pool.VerdictServerError, true
	}
	return res
}

// homeRefusal returns the result of an attempt for which a home assigned no target. A
// reason that is none for a request that did not run, as a home of another version may
// give, stands for a lack of targets.
func homeRefusal(g balance.Grant) result {
	if row, _ := outcome.Lookup(g.Reason); row.Kind != outcome.NotRun {
		return refusedResult(outcome.ReasonNoTarget, max(g.RetryAfter, minRetryAfter))
	}
	return refusedResult(g.Reason, g.RetryAfter)
}
