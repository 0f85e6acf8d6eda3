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
	"filbertmill.example/node/attempt"
	"filbertmill.example/outcome"
)

// maxHomes is the most nodes, the home and its successors, that an entry node
// tries for one request.
const maxHomes = 3

// maxRedirects is the most further nodes that it tries because a home named them
// as the home in its place.
const maxRedirects = 2

// peerSpares is the number of idle connections kept open to a home to which this
// node forwards requests all the time.
const peerSpares = 1

// serve runs a request on this node or at its service's home.
func (n *Node) serve(ctx context.Context, r *request) result {
	switch {
	case r.key != "":
		return keyUnknown(n.serveAtHomes(ctx, r))
	case r.service.Variant == dynamic.VariantDirect:
		return n.runOnTargets(ctx, r)
	}
	return n.serveAtHomes(ctx, r)
}

// serveAtHomes has the service's home or one of its successors run a request.
func (n *Node) serveAtHomes(ctx context.Context, r *request) result {
	last := refused(outcome.ReasonNoHome, "")
	next := n.homes(r.service.Name)
	tried := make(map[string]bool)
	for len(next) > 0 && len(tried) < maxHomes+maxRedirects {
		m := next[0]
		next = next[1:]
		if tried[m.Name()] {
			continue
		}
		tried[m.Name()] = true
		res, tryNext := n.serveAt(ctx, r, m)
		last = afterHop(last, res)
		if !tryNext {
			return last
		}
		last.discard(nil)
		r.abandonedClaim = res.abandonedClaim
		n.emitFailover(r, m, res)
		if to, ok := n.redirected(ctx, res); ok {
			next = append([]fleet.Member{to}, next...)
		}
	}
	return last
}

// serveAt has one node, which may be this one, run a request as the home. It
// reports whether another node may be tried.
func (n *Node) serveAt(ctx context.Context, r *request, m fleet.Member) (result, bool) {
	if m.Name() != n.settings.Name {
		return n.forward(ctx, r, m)
	}
	res := n.runAtHome(ctx, r)
	return res, r.declined(res)
}

// afterHop returns the result for the caller after one more hop. A node that
// handed the request back did not run it, and its result tells nothing about
// the outcome of other hops.
func afterHop(last, res result) result {
	if res.handedBack && last.outcome.Reason != outcome.ReasonNoHome {
		res.discard(nil)
		return last
	}
	if last.handedBack {
		return res
	}
	return combine(last, res)
}

// redirected returns the node that a home named in its place.
func (n *Node) redirected(ctx context.Context, res result) (fleet.Member, bool) {
	if res.home == "" {
		return fleet.Member{}, false
	}
	peer, err := n.peerNamed(ctx, res.home)
	return fleet.Member{Peer: peer}, err == nil
}

// emitFailover records that a home did not serve the request and that this node
// may try another one.
func (n *Node) emitFailover(r *request, m fleet.Member, res result) {
	n.Emit(event.Event{
		Time: time.Now(), Kind: event.KindFailover, Service: r.service.Name, Request: r.id,
		Rule: string(res.outcome.Reason), From: m.Name(), To: res.home,
		Evidence: event.Evidence{Detail: res.outcome.Detail},
	})
}

// forward sends a request to a home. It reports whether the next node may be
// tried: the request was not run, or it may be run again.
func (n *Node) forward(ctx context.Context, r *request, m fleet.Member) (result, bool) {
	out := r.copyOutbound()
	n.sign(out, r)
	hop, release := n.guardHome(ctx, r, m)
	ans, f := n.client.Do(hop, exchange.Call{
		Address:          m.Peer.PeerAddress,
		Request:          out,
		SpareConnections: peerSpares,
		MaxResponseBytes: r.route.MaxResponseBytes,
	})
	var body *answerBody
	if f == nil {
		var err error
		if body, err = readAnswerBody(ans.Body); err != nil {
			f = attempt.AsFailure(err)
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
	return res, r.declined(res)
}

// declined reports whether a home declined the request and another node may
// serve it. A home declines a request if it is shutting down, has no
// configuration with the route yet, or is not the home any more.
func (r *request) declined(res result) bool {
	if res.handedBack {
		return r.resendableToHome()
	}
	switch res.outcome.Reason {
	case outcome.ReasonShutdown, outcome.ReasonNoRoute, outcome.ReasonNoConfiguration:
		return r.body.replayable()
	}
	return false
}

// forwardFailed returns the result of a request whose hop to the home failed. It
// reports whether the next node may be tried.
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

// hopResult returns the result that a home's answer states.
func hopResult(ans *exchange.Answer, body *answerBody, release context.CancelFunc) result {
	h := &ans.Response.Header
	o, err := outcome.Parse(
		string(h.Peek(outcome.Header)),
		string(h.Peek(outcome.ReasonHeader)),
		string(h.Peek(headerRetryAfter)),
	)
	res := result{outcome: o, onEnd: func(error) { _ = ans.Body.Close(); release() }}
	if err == nil && o.Reason == outcome.ReasonHomeLost {
		res.handedBack = true
		res.home = string(h.Peek(hopHome))
		res.abandonedClaim = parseAbandonedClaim(h.Peek(hopAbandonedClaim))
	}
	if o.Kind == outcome.Run {
		res.response = ans.Response
		res.body = body
	}
	return res
}

// sign adds the headers that identify the request and its sender to a peer, and
// their signature.
func (n *Node) sign(out *protocol.Request, r *request) {
	h := &out.Header
	h.Set(hopRoute, r.route.Name)
	h.Set(hopCaller, r.caller)
	h.Set(hopNode, n.settings.Name)
	h.Del(hopAbandonedClaim)
	setAbandonedClaim(h.Set, r.abandonedClaim)
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
	for _, name := range []string{hopRoute, hopCaller, hopNode, hopTimeLeft, hopAbandonedClaim, headerRequestID} {
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
