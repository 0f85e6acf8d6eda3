package node

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/event"
	"filbertmill.example/exchange"
	"filbertmill.example/fleet"
	"filbertmill.example/outcome"
)

// maxHomes is the number of ranks that an entry node tries for one request.
const maxHomes = 3

// serve runs a request here or at its service's home.
func (n *Node) serve(ctx context.Context, r *request) result {
	if r.service.Variant == dynamic.VariantDirect && r.key == "" {
		return n.runHere(ctx, r)
	}
	last := refused(outcome.ReasonNoHome, "")
	for _, m := range n.homes(r.service.Name) {
		if m.Name() == n.settings.Name {
			last = combine(last, n.runAtHome(ctx, r))
			if !r.declined(last.outcome.Reason) {
				return last
			}
			continue
		}
		res, next := n.forward(ctx, r, m)
		res = combine(last, res)
		if !next {
			return res
		}
		res.settled(nil)
		last = res
		n.Emit(event.Event{
			Time: time.Now(), Kind: event.KindFailover, Service: r.service.Name, Request: r.id,
			Rule: string(res.outcome.Reason), From: m.Name(), Evidence: event.Evidence{Detail: res.outcome.Detail},
		})
	}
	return last
}

// forward sends a request to a home. It reports true if the next rank may be
// tried: because the request was not run, or because it may be run again.
func (n *Node) forward(ctx context.Context, r *request, m fleet.Member) (result, bool) {
	out := r.copyOnward()
	n.sign(out, r)
	hop, release := n.guardHome(ctx, r, m)
	ans, f := n.client.Do(hop, exchange.Call{
		Address:          m.Peer.PeerAddress,
		Request:          out,
		MaxResponseBytes: r.route.MaxResponseBytes,
	})
	var body *answerBody
	if f == nil {
		var err error
		if body, err = readAnswerBody(ans.Body); err != nil {
			f = asFailure(err)
		}
	}
	if f != nil {
		defer release()
		return n.forwardFailed(ctx, hop, r, m, f)
	}
	res := hopResult(ans, body, release)
	if res.outcome.Reason == outcome.ReasonShutdown {
		n.suspect(m.Name())
	}
	return res, r.declined(res.outcome.Reason)
}

// declined reports whether a home gave the request back for another to serve:
// it is shutting down, or has no configuration with the route yet.
func (r *request) declined(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonShutdown, outcome.ReasonNoRoute:
		return r.body.replayable()
	case outcome.ReasonHomeLost:
		return r.resendableToHome()
	}
	return false
}

// forwardFailed says what became of a request whose hop to the home failed.
func (n *Node) forwardFailed(ctx, hop context.Context, r *request, m fleet.Member, f *exchange.Failure) (result, bool) {
	switch {
	case errors.Is(context.Cause(hop), errHomeUnresponsive):
		n.suspect(m.Name())
		return refused(outcome.ReasonHomeLost, errHomeUnresponsive.Error()), r.resendableToHome()
	case f.Cause == exchange.CauseCancelled || f.Cause == exchange.CauseRequestBody:
		return refused(outcome.ReasonCallerLeft, f.Error()), false
	case f.NotSent() && ctx.Err() == nil:
		n.suspect(m.Name())
		return refused(outcome.ReasonNoHome, f.Error()), r.body.replayable()
	case f.NotSent():
		return refused(outcome.ReasonTooLate, f.Error()), false
	case f.Cause == exchange.CauseTimeout:
		return refused(outcome.ReasonTimeout, f.Error()), false
	}
	n.suspect(m.Name())
	return refused(outcome.ReasonHomeLost, f.Error()), r.resendableToHome()
}

// hopResult reads the answer of a home.
func hopResult(ans *exchange.Answer, body *answerBody, release context.CancelFunc) result {
	h := &ans.Response.Header
	o, _ := outcome.Parse(
		string(h.Peek(outcome.Header)),
		string(h.Peek(outcome.ReasonHeader)),
		string(h.Peek(headerRetryAfter)),
	)
	res := result{outcome: o, settle: func(error) { _ = ans.Body.Close(); release() }}
	if o.Kind == outcome.Run {
		res.response = ans.Response
		res.body = body
	}
	return res
}

// sign adds the headers by which a peer knows the request and its sender.
func (n *Node) sign(out *protocol.Request, r *request) {
	h := &out.Header
	h.Set(hopRoute, r.route.Name)
	h.Set(hopCaller, r.caller)
	h.Set(hopNode, n.settings.Name)
	h.Set(hopTimeLeft, strconv.FormatInt(r.timeLeft(time.Now()), 10))
	h.Set(headerRequestID, r.id)
	h.Set(hopSignature, hopDigest(n.settings.SharedKey, h))
}

// hopDigest returns the HMAC-SHA256 of the forwarded request's identity.
func hopDigest(key string, h *protocol.RequestHeader) string {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write(h.Method())
	mac.Write([]byte{'\n'})
	mac.Write(h.RequestURI())
	for _, name := range []string{hopRoute, hopCaller, hopNode, hopTimeLeft, headerRequestID} {
		mac.Write([]byte{'\n'})
		mac.Write(h.Peek(name))
	}
	return hex.EncodeToString(mac.Sum(nil))
}

// authentic reports whether a forwarded request carries a valid signature.
func authentic(key string, h *protocol.RequestHeader) bool {
	want := hopDigest(key, h)
	return hmac.Equal([]byte(want), h.Peek(hopSignature))
}
