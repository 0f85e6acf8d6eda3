package node

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

// request is one caller's request while a node has it.
type request struct {
	id         string
	service    *dynamic.Service
	route      *dynamic.Route
	caller     string
	idempotent bool
	deadline   time.Time
	onward     *protocol.Request
	body       *requestBody
	// key is set if the request may be run once only and its caller named it.
	key once.Key
	// gaveUp is a claim of the key that an earlier home made and gave up.
	gaveUp once.Claim
}

// result is what became of a request at this node. Answer is set if a target
// answered; body then streams or holds the answer's body.
type result struct {
	outcome  outcome.Outcome
	response *protocol.Response
	body     *answerBody
	// handedBack says that a home did not run the request and is not its home
	// any more; home is the node to ask in its place, if that is known.
	handedBack bool
	home       string
	// gaveUp is the claim that the home gave up.
	gaveUp once.Claim
	// unsent says that no byte of the request went to a target.
	unsent bool
	// settle must be called once the answer was passed on, with the error that
	// ended it or nil.
	settle func(err error)
}

// refused returns a result without an answer.
func refused(reason outcome.Reason, detail string) result {
	return result{outcome: outcome.New(reason, detail, 0)}
}

// timeLeft returns the time until the deadline in whole milliseconds, at least 0.
func (r *request) timeLeft(now time.Time) int64 {
	return max(r.deadline.Sub(now).Milliseconds(), 0)
}

// resendable reports whether the request may be sent again although an
// earlier sending may have been run.
func (r *request) resendable() bool {
	return r.idempotent && r.body.replayable()
}

// resendableToHome reports whether another home may be asked although an
// earlier one may have run the request: a key's claim keeps it from running twice.
func (r *request) resendableToHome() bool {
	return r.resendable() || (r.key != "" && r.body.replayable())
}

// untilEnd returns the context of an exchange with a target. A keyed request
// goes on after its caller left, so that the caller can ask for its outcome.
func (r *request) untilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.key == "" {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
}

// copyOnward returns a copy of the onward request with the body attached.
func (r *request) copyOnward() *protocol.Request {
	out := &protocol.Request{}
	r.onward.Header.CopyTo(&out.Header)
	out.Header.SetRequestURIBytes(r.onward.Header.RequestURI())
	r.body.attach(out)
	return out
}

// expired reports whether the context ended because its deadline passed.
func expired(ctx context.Context) bool {
	return ctx.Err() == context.DeadlineExceeded
}
