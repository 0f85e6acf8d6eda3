package node

import (
	"context"
	"crypto/rand"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange/hop"
	"filbertmill.example/outcome"
)

// maxRequestIDLength is the longest request id, in bytes, taken from a caller.
const maxRequestIDLength = 128

// handleCaller serves a request from a caller.
func (n *Node) handleCaller(c context.Context, ctx *app.RequestContext) {
	done := n.begin()
	conn := callerConnOf(c)
	defer conn.endRequest(ctx)
	id := requestID(ctx)
	if n.refusing.Load() {
		n.respond(ctx, id, refused(outcome.ReasonShutdown, ""), callerSide)
		done()
		return
	}
	if err := conn.beginRequest(ctx); err != nil {
		ctx.Response.SetConnectionClose()
		n.respond(ctx, id, refused(outcome.ReasonQueueFull, err.Error()), callerSide)
		done()
		return
	}
	bodyRead := conn.waitForBody()
	r, refusal := n.accept(ctx, id)
	bodyRead()
	if r != nil && r.body.stream != nil {
		conn.beginUpload()
	}
	if r == nil {
		n.respond(ctx, id, refusal, callerSide)
		done()
		return
	}
	r.outbound.Header.Set(headerRequestID, id)
	addVia(&r.outbound.Header, n.settings.Name)
	addForwarded(&r.outbound.Header, ctx)
	n.run(c, ctx, r, callerSide, n.serve, done)
}

// handlePeer serves a request that another node forwarded to this one as the
// home of its service.
func (n *Node) handlePeer(c context.Context, ctx *app.RequestContext) {
	done := n.begin()
	id := requestID(ctx)
	r, refusal := n.acceptForwarded(ctx, id)
	if r == nil {
		n.respond(ctx, id, refusal, peerSide)
		done()
		return
	}
	n.run(c, ctx, r, peerSide, n.runAtHome, done)
}

// run serves an accepted request and answers it. It calls done when the answer
// was forwarded or has failed.
func (n *Node) run(
	c context.Context, ctx *app.RequestContext, r *request, s side,
	serve func(context.Context, *request) result, done func(),
) {
	c, cancel := context.WithDeadline(c, r.deadline)
	stop := func() {}
	if r.body.stream == nil {
		stop = watchCaller(ctx.GetConn(), cancel)
	}
	res := serve(c, r)
	stop()
	onEnd := res.onEnd
	res.onEnd = func(err error) {
		if onEnd != nil {
			onEnd(err)
		}
		if s == callerSide {
			n.countBurn(time.Now(), r, res, err)
		}
		cancel()
		done()
	}
	n.respond(ctx, r.id, res, s)
}

// accept checks a caller's request and finds its route. If the request cannot
// be served, it returns nil and the result for the caller.
func (n *Node) accept(ctx *app.RequestContext, id string) (*request, result) {
	h := &ctx.Request.Header
	if err := hop.CheckFraming(h); err != nil {
		ctx.Response.SetConnectionClose()
		return nil, refused(outcome.ReasonBadRequest, err.Error())
	}
	table := n.routes.Load()
	rt := table.match(string(h.Host()), string(ctx.Path()))
	if rt == nil {
		res := table.noRoute("")
		if len(h.Peek(headerIdempotencyKey)) > 0 && !table.configured {
			res = keyUnknown(res)
		}
		return nil, res
	}
	timeout, err := callerTimeout(string(h.Peek(headerTimeout)), rt.Timeout)
	if err != nil {
		return nil, refused(outcome.ReasonBadRequest, err.Error())
	}
	r := &request{
		id:         id,
		service:    table.services[rt.Service],
		route:      rt,
		caller:     callerName(ctx),
		idempotent: idempotent(rt, string(h.Method())),
		deadline:   time.Now().Add(timeout),
		outbound:   newOutbound(h),
	}
	if err := r.setKey(h); err != nil {
		return nil, refused(outcome.ReasonBadRequest, err.Error())
	}
	return n.withBody(ctx, r)
}

// acceptForwarded checks a request that a peer forwarded. If the request cannot
// be served, it returns nil and the result for the peer.
func (n *Node) acceptForwarded(ctx *app.RequestContext, id string) (*request, result) {
	h := &ctx.Request.Header
	if !authentic(n.settings.SharedKey, h) {
		ctx.Response.SetConnectionClose()
		return nil, refused(outcome.ReasonNotAuthenticated, "")
	}
	if n.draining.Load() {
		return nil, refused(outcome.ReasonShutdown, "")
	}
	table := n.routes.Load()
	rt := table.route(string(h.Peek(hopRoute)))
	if rt == nil {
		return nil, table.noRoute("the home does not have the route")
	}
	left, err := strconv.ParseInt(string(h.Peek(hopTimeLeft)), 10, 64)
	if err != nil {
		return nil, refused(outcome.ReasonBadRequest, "the time left is not a number")
	}
	r := &request{
		id:         id,
		service:    table.services[rt.Service],
		route:      rt,
		caller:     string(h.Peek(hopCaller)),
		idempotent: idempotent(rt, string(h.Method())),
		deadline:   time.Now().Add(time.Duration(left) * time.Millisecond),
		outbound:   newOutbound(h),
	}
	r.abandonedClaim = parseAbandonedClaim(h.Peek(hopAbandonedClaim))
	if err := r.setKey(h); err != nil {
		return nil, refused(outcome.ReasonBadRequest, err.Error())
	}
	return n.withBody(ctx, r)
}

// withBody reads the request's body, within the route's limit on its size.
func (n *Node) withBody(ctx *app.RequestContext, r *request) (*request, result) {
	_ = ctx.GetConn().SetReadTimeout(time.Until(r.deadline))
	body, err := readRequestBody(ctx, r.route.MaxRequestBytes)
	if err == nil {
		r.body = body
		return r, result{}
	}
	ctx.Response.SetConnectionClose()
	if errors.Is(err, errBodyTooLarge) {
		return nil, refused(outcome.ReasonTooLarge, err.Error())
	}
	return nil, refused(outcome.ReasonBadRequest, err.Error())
}

// callerTimeout returns the shorter of the route's timeout and the caller's.
func callerTimeout(value string, limit time.Duration) (time.Duration, error) {
	if value == "" {
		return limit, nil
	}
	ms, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return 0, errors.Newf("%s is not a number of milliseconds: %q", headerTimeout, value)
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

// requestID returns the request id that the caller set, or a new one if it set
// none or a too long one.
func requestID(ctx *app.RequestContext) string {
	id := string(ctx.Request.Header.Peek(headerRequestID))
	if id == "" || len(id) > maxRequestIDLength {
		return rand.Text()
	}
	return id
}

// callerName returns the caller as named by the platform's balancer, or else
// its IP address.
func callerName(ctx *app.RequestContext) string {
	if name := string(ctx.Request.Header.Peek(headerCaller)); name != "" {
		return name
	}
	if list := string(ctx.Request.Header.Peek(headerForwardedFor)); list != "" {
		first, _, _ := strings.Cut(list, ",")
		return strings.TrimSpace(first)
	}
	return remoteHost(ctx)
}

// remoteHost returns the IP address of the connection's remote end, or "" if
// it has none.
func remoteHost(ctx *app.RequestContext) string {
	host, _, err := net.SplitHostPort(ctx.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// begin counts a request as in flight until the returned function is called.
func (n *Node) begin() func() {
	n.inFlight.Add(1)
	return func() { n.inFlight.Add(-1) }
}
