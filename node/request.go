package node

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

// request is one caller's request while a node handles it.
type request struct {
	id         string
	service    *dynamic.Service
	route      *dynamic.Route
	caller     string
	idempotent bool
	deadline   time.Time
	// outbound is the request for the next hop, without its body.
	outbound *protocol.Request
	body     *requestBody
	// key is the idempotency key: the request may run only once, and its caller
	// identifies it by the key. It is empty for a request without a key and for
	// one that may run more than once.
	key once.Key
	// abandonedClaim is a claim of the key that an earlier home made and then
	// abandoned.
	abandonedClaim once.Claim
}

// result is the outcome of a request at this node. response is set if a target
// answered; body then streams or holds the answer's body.
type result struct {
	outcome  outcome.Outcome
	response *protocol.Response
	body     *answerBody
	// handedBack is set if a home declined to run the request because it is not
	// the home any more; home then names the node to try instead, if known.
	handedBack bool
	home       string
	// abandonedClaim is the claim that the home made and then abandoned.
	abandonedClaim once.Claim
	// unsent is set if no byte of the request was sent to a target.
	unsent bool
	// onEnd must be called once, when the answer was forwarded or is discarded.
	// err is the error that broke off the forwarding, or nil.
	onEnd func(err error)
}

// refused returns a result without a target's answer.
func refused(reason outcome.Reason, detail string) result {
	return result{outcome: outcome.New(reason, detail, 0)}
}

// timeLeft returns the time until the deadline in whole milliseconds, at least 0.
func (r *request) timeLeft(now time.Time) int64 {
	return max(r.deadline.Sub(now).Milliseconds(), 0)
}

// resendable reports whether the request may be sent again although an earlier
// attempt may have been run.
func (r *request) resendable() bool {
	return r.idempotent && r.body.replayable()
}

// resendableToHome reports whether the request may be sent to another home
// although an earlier one may have run it. With an idempotency key it may be:
// the claim of the key prevents a second run.
func (r *request) resendableToHome() bool {
	return r.resendable() || (r.key != "" && r.body.replayable())
}

// exchangeContext returns the context of an exchange with a target. A keyed
// request continues after its caller has left, so that the caller can get its
// outcome with the same key later.
func (r *request) exchangeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.key == "" {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
}

// copyOutbound returns a copy of the outbound request with the body attached.
func (r *request) copyOutbound() *protocol.Request {
	out := &protocol.Request{}
	r.outbound.Header.CopyTo(&out.Header)
	out.Header.SetRequestURIBytes(r.outbound.Header.RequestURI())
	r.body.attach(out)
	return out
}

// expired reports whether the context ended because its deadline passed.
func expired(ctx context.Context) bool {
	return ctx.Err() == context.DeadlineExceeded
}
