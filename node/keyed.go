package node

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

// tellTimeout bounds how long an answer is held back until the nodes that may
// take the home's place know of it. Longer loses less when a home crashes;
// shorter delays answers less while one of them is unreachable.
const tellTimeout = 50 * time.Millisecond

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
	claim := once.Request{ID: once.RequestID(n.lastID.Add(1)), Key: r.key, Digest: r.askedFor(), AbandonedClaim: r.gaveUp}
	verdicts := make(chan claimVerdict, maxVerdicts)
	if !n.control.send(claimCommand{service: r.service.Name, request: claim, reply: verdicts}) {
		return refused(outcome.ReasonEarlierUnknown, "the node has stopped")
	}
	return n.awaitClaim(ctx, r, claim, verdicts)
}

// awaitClaim does what the Home says: first it has the request wait for a
// place, so that a key is claimed only for a request that can start.
func (n *Node) awaitClaim(ctx context.Context, r *request, claim once.Request, verdicts <-chan claimVerdict) result {
	var p *place
	for {
		select {
		case v := <-verdicts:
			switch {
			case v.admit:
				p = n.placeClaim(ctx, r, claim)
			case v.dispatch:
				return n.runClaimed(ctx, r, claim.ID, p)
			default:
				n.abandonPlace(r, p)
				return replay(v.result)
			}
		case <-ctx.Done():
			n.control.send(withdrawCommand{service: r.service.Name, request: claim, reply: verdicts})
			n.abandonPlace(r, p)
			if expired(ctx) {
				return refused(outcome.ReasonTimeout, "no outcome of the idempotency key in time")
			}
			return refused(outcome.ReasonCallerLeft, "")
		}
	}
}

// placeClaim waits for a slot and tells the Home, whose next verdict follows.
// It returns nil if there is no slot. A context that has ended ends the wait
// for the verdict too.
func (n *Node) placeClaim(ctx context.Context, r *request, claim once.Request) *place {
	p, res := n.place(ctx, r, nil)
	switch {
	case p != nil:
		n.control.send(admittedCommand{service: r.service.Name, request: claim})
	case res.outcome.Kind == outcome.NotRun && ctx.Err() == nil:
		n.control.send(notAdmittedCommand{service: r.service.Name, request: claim, result: once.Result{Outcome: res.outcome}})
	}
	return p
}

// abandonPlace frees the slot of a request that is not dispatched, if it has one.
func (n *Node) abandonPlace(r *request, p *place) {
	if p != nil {
		n.giveBack(r, p)
	}
}

// runClaimed runs a request whose key is claimed and reports its end. One that
// waited behind another may have no place yet.
func (n *Node) runClaimed(ctx context.Context, r *request, id once.RequestID, p *place) result {
	var res result
	if p != nil {
		res = n.runFrom(ctx, r, p)
	} else {
		res = n.runHere(ctx, r)
	}
	end := func(o once.Result) { n.endClaim(ctx, r, id, o) }
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

// endClaim reports the end of a claimed request and waits a little until the
// witnesses know it: if the home crashes afterwards, a repeat is replayed and
// not told that nobody knows.
func (n *Node) endClaim(ctx context.Context, r *request, id once.RequestID, o once.Result) {
	told := make(chan struct{})
	if !n.control.send(claimEndCommand{service: r.service.Name, id: id, result: o, told: told}) {
		return
	}
	awaitTold(ctx, told)
}

// awaitTold waits a little until other nodes know of an end.
func awaitTold(ctx context.Context, told <-chan struct{}) {
	select {
	case <-told:
	case <-ctx.Done():
	case <-time.After(tellTimeout):
	}
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
	res := result{outcome: r.Outcome, home: r.Home, gaveUp: r.AbandonedClaim, handedBack: r.Outcome.Reason == outcome.ReasonHomeLost}
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
