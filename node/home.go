package node

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"filbertmill.example/event"
	"filbertmill.example/exchange"
	"filbertmill.example/node/attempt"
	"filbertmill.example/outcome"
	"filbertmill.example/pool"
)

// targetAttempt is the outcome of one attempt on one target.
type targetAttempt struct {
	target  string
	address string
	verdict pool.Verdict
	// leaving is set if the target announced that it is shutting down.
	leaving bool
	failure *exchange.Failure
	answer  *exchange.Answer
	body    *answerBody
	start   time.Time
	id      pool.RequestID
	// crashed is set if the target accepted no connection right after it had
	// broken off the exchange.
	crashed bool
	// release cancels the context of the exchange.
	release context.CancelFunc
}

// runOnTargets runs a request on the targets of its service. This node is the
// home of the service, or the service's variant uses none.
func (n *Node) runOnTargets(ctx context.Context, r *request) result {
	slot, res := n.acquireSlot(ctx, r, nil)
	if slot == nil {
		return res
	}
	return n.runOnSlot(ctx, r, slot)
}

// acquiredSlot is a slot of a target that was granted to a request.
type acquiredSlot struct {
	grant grant
	id    pool.RequestID
}

// acquireSlot waits for a slot. If the request is refused, it returns nil and
// the result for the caller.
func (n *Node) acquireSlot(ctx context.Context, r *request, exclude []string) (*acquiredSlot, result) {
	g, id := n.admit(ctx, r, exclude)
	if g.refusal == nil {
		return &acquiredSlot{grant: g, id: id}, result{}
	}
	n.emitRefusal(r, g)
	return nil, result{outcome: outcome.New(g.refusal.Reason, "", g.refusal.RetryAfter), unsent: true}
}

// releaseSlot frees a slot that was not used.
func (n *Node) releaseSlot(r *request, slot *acquiredSlot) {
	n.control.send(finishCommand{
		service: r.service.Name,
		id:      slot.id,
		result:  pool.Result{Verdict: pool.VerdictCancelled},
	})
}

// runOnSlot runs a request on the acquired slot and retries it on further
// targets as far as its route and the retry budget permit.
func (n *Node) runOnSlot(ctx context.Context, r *request, slot *acquiredSlot) result {
	var exclude []string
	var last result
	for try := 1; ; try++ {
		if try > 1 {
			if slot, _ = n.acquireSlot(ctx, r, exclude); slot == nil {
				return last
			}
		}
		a := n.try(ctx, r, slot.grant, slot.id)
		res := n.attemptResult(r, a)
		res.unsent = a.unsent() && (try == 1 || last.unsent)
		if try > 1 {
			res = combine(last, res)
		}
		last = res
		if try >= r.route.Attempts || !n.mayRetry(ctx, r, a, try) {
			return last
		}
		last.discard(nil)
		exclude = append(exclude, a.target)
		n.Emit(event.Event{
			Time: time.Now(), Kind: event.KindRetry, Service: r.service.Name, Target: a.target,
			Request: r.id, Rule: string(last.outcome.Reason),
		})
	}
}

// unsent reports whether no byte of the request was written.
func (a *targetAttempt) unsent() bool {
	return a.failure != nil && a.failure.NotSent()
}

// admit waits until the Scheduler starts the request on a target or refuses it.
func (n *Node) admit(ctx context.Context, r *request, exclude []string) (grant, pool.RequestID) {
	id := pool.RequestID(n.lastID.Add(1))
	reply := make(chan grant, 1)
	sent := n.control.send(submitCommand{
		service:     r.service.Name,
		reply:       reply,
		fingerprint: r.fingerprint(),
		name:        r.id,
		request: pool.Request{
			ID:         id,
			Route:      r.route.Name,
			Caller:     r.caller,
			Idempotent: r.idempotent,
			Deadline:   r.deadline,
			Priority:   r.route.Priority,
			Exclude:    exclude,
		},
	})
	if !sent {
		return grant{refusal: &pool.Refusal{Reason: outcome.ReasonShutdown}}, id
	}
	select {
	case g := <-reply:
		return g, id
	case <-ctx.Done():
		n.control.send(abandonCommand{service: r.service.Name, id: id, reply: reply})
		reason := outcome.ReasonCallerLeft
		if expired(ctx) {
			reason = outcome.ReasonTooLate
		}
		return grant{refusal: &pool.Refusal{Reason: reason}}, id
	}
}

// try makes one attempt on the granted target.
func (n *Node) try(ctx context.Context, r *request, g grant, id pool.RequestID) targetAttempt {
	a := targetAttempt{target: g.target, address: g.address, start: time.Now(), id: id}
	out := r.copyOutbound()
	out.Header.Set(headerTimeout, strconv.FormatInt(r.timeLeft(a.start), 10))
	out.Header.Set(headerRequestID, r.id)
	ctx, a.release = r.exchangeContext(ctx)
	a.answer, a.failure = n.client.Do(ctx, exchange.Call{
		Address:          g.address,
		Request:          out,
		NoReuse:          !r.idempotent,
		SpareConnections: g.slots,
		MaxResponseBytes: r.route.MaxResponseBytes,
	})
	if a.failure == nil {
		body, err := readAnswerBody(a.answer.Body)
		if err != nil {
			a.failure = attempt.AsFailure(err)
		}
		a.body = body
	}
	if a.failure != nil {
		a.verdict = attempt.Verdict(a.failure)
		a.crashed = attempt.Lost(a.failure) && isDown(g.address)
		return a
	}
	a.leaving = len(a.answer.Response.Header.Peek(headerTargetLeaving)) > 0
	a.verdict = statusVerdict(a.answer.Response.StatusCode(), r.service.RefusalStatus)
	return a
}

// statusVerdict classifies a complete answer by its status.
func statusVerdict(status int, refusal []int) pool.Verdict {
	for _, s := range refusal {
		if s == status {
			return pool.VerdictRefused
		}
	}
	if status >= 500 {
		return pool.VerdictServerError
	}
	return pool.VerdictAnswered
}

// attemptResult returns the result for the caller in case the attempt is the
// last one.
func (n *Node) attemptResult(r *request, a targetAttempt) result {
	if a.failure != nil {
		reason := attempt.Reason(a.failure)
		return result{
			outcome: outcome.New(reason, a.failure.Error(), 0),
			onEnd:   func(error) { n.finish(r, a, nil) },
		}
	}
	if a.verdict == pool.VerdictRefused {
		return result{
			outcome: outcome.New(outcome.ReasonTargetRefused, "", retryAfter(a.answer.Response)),
			onEnd:   func(error) { n.finish(r, a, nil) },
		}
	}
	return result{
		outcome:  outcome.New(outcome.ReasonAnswered, "", 0),
		response: a.answer.Response,
		body:     a.body,
		onEnd:    func(err error) { n.finish(r, a, err) },
	}
}

// retryAfter returns the wait in the Retry-After header of a target's answer,
// or 0 if it states none.
func retryAfter(r *protocol.Response) time.Duration {
	seconds, err := strconv.Atoi(string(r.Header.Peek(headerRetryAfter)))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// finish reports the end of an attempt to the Scheduler. A non-nil err means
// that the answer's body broke off while it was forwarded.
func (n *Node) finish(r *request, a targetAttempt, err error) {
	verdict := a.verdict
	if err != nil {
		verdict = attempt.Verdict(attempt.AsFailure(err))
		var lost *exchange.Failure // not the caller's connection
		a.crashed = errors.As(err, &lost) && attempt.Lost(lost) && isDown(a.address)
	}
	if a.answer != nil {
		_ = a.answer.Body.Close()
	}
	a.release()
	var notified chan struct{}
	if a.crashed {
		notified = make(chan struct{})
	}
	sent := n.control.send(finishCommand{
		service: r.service.Name,
		id:      a.id,
		result:  pool.Result{Verdict: verdict, Latency: time.Since(a.start), Leaving: a.leaving},
		attempt: attemptEnd{
			target: a.target, route: r.route.Name, request: r.id,
			fingerprint: r.fingerprint(), start: a.start, crashed: a.crashed,
		},
		notified: notified,
	})
	if a.crashed && sent {
		// A retry of a poison request must not reach a successor that does not
		// know of the quarantine yet.
		awaitNotified(context.Background(), notified)
	}
}
