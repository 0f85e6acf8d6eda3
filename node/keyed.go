package node

import (
	"context"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

// runAtHome runs a request as the home of its service; one with an idempotency
// key only after its claim.
func (n *Node) runAtHome(ctx context.Context, r *request) result {
	if r.key == "" {
		return n.runHere(ctx, r)
	}
	if n.tenures == nil {
		return refused(outcome.ReasonNoClaim, "this fleet has no store; idempotency keys cannot be claimed")
	}
	return n.runKeyed(ctx, r)
}

// runKeyed claims the request's key and runs it, or answers with what became
// of an earlier request with the same key.
func (n *Node) runKeyed(ctx context.Context, r *request) result {
	claim := once.Request{ID: once.RequestID(n.lastID.Add(1)), Key: r.key, Digest: r.askedFor()}
	verdicts := make(chan claimVerdict, 1)
	if !n.control.send(claimCommand{service: r.service.Name, request: claim, reply: verdicts}) {
		return refused(outcome.ReasonEarlierUnknown, "the node has stopped")
	}
	select {
	case v := <-verdicts:
		if v.dispatch {
			return n.runClaimed(ctx, r, claim.ID)
		}
		return replay(v.result)
	case <-ctx.Done():
		n.control.send(withdrawCommand{service: r.service.Name, request: claim, reply: verdicts})
		if expired(ctx) {
			return refused(outcome.ReasonTimeout, "no outcome of the idempotency key in time")
		}
		return refused(outcome.ReasonCallerLeft, "")
	}
}

// runClaimed runs a request whose key is claimed and reports its end.
func (n *Node) runClaimed(ctx context.Context, r *request, id once.RequestID) result {
	res := n.runHere(ctx, r)
	end := func(o once.Result) {
		n.control.send(claimEndCommand{service: r.service.Name, id: id, result: o})
	}
	switch {
	case res.unsent && res.outcome.Kind != outcome.NotRun:
		end(notDispatched())
	case res.outcome.Kind != outcome.Run:
		end(once.Result{Outcome: res.outcome})
	case res.body == nil || res.body.stream == nil:
		end(once.Result{Outcome: res.outcome, Answer: keepAnswer(res)})
	default:
		res.settle = endWithBody(res, end)
	}
	return res
}

// endWithBody reports the end of a long answer once it was passed on. Its
// content is not kept.
func endWithBody(res result, end func(once.Result)) func(error) {
	settle := res.settle
	return func(err error) {
		settle(err)
		if err != nil {
			end(once.Result{Outcome: outcome.New(outcome.ReasonIncompleteAnswer, err.Error(), 0)})
			return
		}
		end(once.Result{Outcome: res.outcome})
	}
}

// keepAnswer copies a whole answer for replay.
func keepAnswer(res result) *once.Answer {
	a := &once.Answer{Status: res.response.StatusCode()}
	if res.body != nil {
		a.Body = append([]byte(nil), res.body.small...)
	}
	h := &protocol.ResponseHeader{}
	res.response.Header.CopyTo(h)
	stripResponse(h)
	h.VisitAll(func(name, value []byte) {
		a.Header = append(a.Header, once.Field{Name: string(name), Value: string(value)})
	})
	if a.Size() > once.DefaultConfig().MaxAnswerBytes {
		return nil
	}
	return a
}

// replay makes the answer to a repeated request.
func replay(r once.Result) result {
	res := result{outcome: r.Outcome}
	if r.Answer == nil {
		return res
	}
	res.response = &protocol.Response{}
	res.response.SetStatusCode(r.Answer.Status)
	for _, f := range r.Answer.Header {
		res.response.Header.Add(f.Name, f.Value)
	}
	res.body = &answerBody{small: r.Answer.Body, length: len(r.Answer.Body)}
	return res
}
