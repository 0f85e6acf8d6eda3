package node

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/once"
	"filbertmill.example/outcome"
)

// notifyTimeout limits how long the home holds an answer back until the nodes
// that may become the home have received it. A longer timeout loses less when a
// home crashes; a shorter one delays answers less while such a node is
// unreachable.
const notifyTimeout = 50 * time.Millisecond

// runAtHome runs a request as the home of its service. A request with an
// idempotency key runs only after its key was claimed.
func (n *Node) runAtHome(ctx context.Context, r *request) result {
	if r.key == "" {
		return n.runOnTargets(ctx, r)
	}
	if n.tenures == nil {
		return refused(outcome.ReasonNoClaim, "this fleet has no store; idempotency keys cannot be claimed")
	}
	return n.runKeyed(ctx, r)
}

// runKeyed claims the request's key and runs the request, or returns the
// outcome of an earlier request with the same key.
func (n *Node) runKeyed(ctx context.Context, r *request) result {
	claim := once.Request{ID: once.RequestID(n.lastID.Add(1)), Key: r.key, Digest: r.claimDigest(), AbandonedClaim: r.abandonedClaim}
	verdicts := make(chan claimVerdict, maxVerdicts)
	if !n.control.send(claimCommand{service: r.service.Name, request: claim, reply: verdicts}) {
		return refused(outcome.ReasonEarlierUnknown, "the node has stopped")
	}
	return n.awaitClaim(ctx, r, claim, verdicts)
}

// awaitClaim follows the verdicts of the Home. The first makes the request wait
// for a slot, so that a key is claimed only for a request that can start.
func (n *Node) awaitClaim(ctx context.Context, r *request, claim once.Request, verdicts <-chan claimVerdict) result {
	var slot *acquiredSlot
	for {
		select {
		case v := <-verdicts:
			switch {
			case v.admit:
				slot = n.acquireForClaim(ctx, r, claim)
			case v.dispatch:
				return n.runClaimed(ctx, r, claim.ID, slot)
			default:
				n.releaseIfHeld(r, slot)
				return replay(v.result)
			}
		case <-ctx.Done():
			n.control.send(withdrawCommand{service: r.service.Name, request: claim, reply: verdicts})
			n.releaseIfHeld(r, slot)
			if expired(ctx) {
				return refused(outcome.ReasonTimeout, "no outcome of the idempotency key in time")
			}
			return refused(outcome.ReasonCallerLeft, "")
		}
	}
}

// acquireForClaim waits for a slot and reports to the Home whether the request
// got one; the Home's next verdict follows. It returns nil if the request got no
// slot. If ctx has ended, it reports no refusal: awaitClaim then withdraws the
// claim.
func (n *Node) acquireForClaim(ctx context.Context, r *request, claim once.Request) *acquiredSlot {
	slot, res := n.acquireSlot(ctx, r, nil)
	switch {
	case slot != nil:
		n.control.send(admittedCommand{service: r.service.Name, request: claim})
	case res.outcome.Kind == outcome.NotRun && ctx.Err() == nil:
		n.control.send(notAdmittedCommand{service: r.service.Name, request: claim, result: once.Result{Outcome: res.outcome}})
	}
	return slot
}

// releaseIfHeld frees the slot of a request that is not dispatched, if it has
// one.
func (n *Node) releaseIfHeld(r *request, slot *acquiredSlot) {
	if slot != nil {
		n.releaseSlot(r, slot)
	}
}

// runClaimed runs a request whose key is claimed and reports its outcome to the
// Home. slot is nil for a request that waited behind another one with the same
// key and has no slot yet.
func (n *Node) runClaimed(ctx context.Context, r *request, id once.RequestID, slot *acquiredSlot) result {
	var res result
	if slot != nil {
		res = n.runOnSlot(ctx, r, slot)
	} else {
		res = n.runOnTargets(ctx, r)
	}
	end := func(o once.Result) { n.endClaim(ctx, r, id, o) }
	switch {
	case res.unsent && res.outcome.Kind != outcome.NotRun:
		end(notDispatched())
	case res.outcome.Kind != outcome.Run:
		end(once.Result{Outcome: res.outcome})
	case res.body == nil || res.body.stream == nil:
		end(once.Result{Outcome: res.outcome, Answer: answerForReplay(res)})
	default:
		res.onEnd = endAfterBody(res, end)
	}
	return res
}

// endClaim reports the outcome of a claimed request to the Home and waits, for
// notifyTimeout at most, until the witnesses have received it. If the home
// crashes afterwards, a repeated request gets the answer replayed instead of
// the reason earlier_unknown.
func (n *Node) endClaim(ctx context.Context, r *request, id once.RequestID, o once.Result) {
	notified := make(chan struct{})
	if !n.control.send(claimEndCommand{service: r.service.Name, id: id, result: o, notified: notified}) {
		return
	}
	awaitNotified(ctx, notified)
}

// awaitNotified waits until other nodes were notified, for notifyTimeout at most.
func awaitNotified(ctx context.Context, notified <-chan struct{}) {
	select {
	case <-notified:
	case <-ctx.Done():
	case <-time.After(notifyTimeout):
	}
}

// endAfterBody returns an onEnd for a streamed answer. It reports the outcome of
// the claimed request when the answer was forwarded, without the answer's
// content.
func endAfterBody(res result, end func(once.Result)) func(error) {
	onEnd := res.onEnd
	return func(err error) {
		onEnd(err)
		if err != nil {
			end(once.Result{Outcome: outcome.New(outcome.ReasonIncompleteAnswer, err.Error(), 0)})
			return
		}
		end(once.Result{Outcome: res.outcome})
	}
}

// answerForReplay copies a complete answer, or returns nil if it is too large to
// keep.
func answerForReplay(res result) *once.Answer {
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

// replay returns the result for a request that the Home answers without running
// it, such as a repeated one.
func replay(r once.Result) result {
	res := result{outcome: r.Outcome, home: r.Home, abandonedClaim: r.AbandonedClaim, handedBack: r.Outcome.Reason == outcome.ReasonHomeLost}
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
