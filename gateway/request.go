package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/exchange/hop"
	"filbertmill.example/gateway/ingress"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/outcome"
	"filbertmill.example/platform"
	"filbertmill.example/poison"
)

// startupRetryAfter is when a caller should come back to a node that knows no
// configuration yet.
const startupRetryAfter = 500 * time.Millisecond

const (
	// startupWait bounds the wait of a request for the first configuration, and
	// startupShare is the part of the caller's time that it may take: one in so many.
	startupWait  = 400 * time.Millisecond
	startupShare = 4
)

// request is one caller's request on its way.
type request struct {
	*ingress.Request
	id         string
	route      *dynamic.Route
	service    string
	idempotent bool
	// deadline is when the caller's or the route's patience ends, due when an
	// answer stops being worth most.
	deadline    time.Time
	due         time.Time
	fingerprint poison.Fingerprint
	onward      *protocol.Request
	// version is that of the configuration by which it was routed.
	version dynamic.Revision
	// holds is the memory of its answers.
	holds *holds
}

// Limits implements ingress.Handler.
func (n *Node) Limits() ingress.Limits {
	cfg := n.replica.View().Config
	if cfg == nil {
		return ingress.Limits{}
	}
	return ingress.Limits{
		HeaderBytes: cfg.Limits.HeaderBytes, BodyBytes: cfg.Limits.BodyBytes,
		HeaderTimeout: cfg.Limits.HeaderTimeout, IdleTimeout: cfg.Limits.IdleTimeout,
	}
}

// MayPipeline implements ingress.Handler.
func (n *Node) MayPipeline(r *protocol.Request) bool {
	view := n.replica.View()
	if view.Table == nil {
		return true
	}
	route := view.Table.Match(string(r.Header.Host()), string(r.Path()))
	return route == nil || route.Idempotency == dynamic.IdempotentAlways
}

// Serve implements ingress.Handler.
func (n *Node) Serve(ctx context.Context, in *ingress.Request) *protocol.Response {
	if n.refusing.Load() {
		return n.answer(in, refused(outcome.ReasonShutdown, minRetryAfter))
	}
	r, refusal := newRequest(n.configuredView(ctx, in), in)
	if r == nil {
		return n.answer(in, refusal)
	}
	r.holds = n.hold(in.Request)
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	res := n.carry(ctx, r)
	res.version = r.version
	return n.answer(in, res)
}

// configuredView returns the present view. A node that has just started waits a
// moment for its first configuration: a refusal would cost the caller more.
func (n *Node) configuredView(ctx context.Context, in *ingress.Request) *replica.View {
	view := n.replica.View()
	if view.Config != nil {
		return view
	}
	wait := startupWait
	if left, ok := platform.ParseTimeLeft(string(in.Header.Peek(platform.HeaderTimeLeft))); ok {
		wait = min(wait, left/startupShare)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changed := n.replica.Changed()
		if view = n.replica.View(); view.Config != nil {
			return view
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return view
		}
	}
}

// newRequest finds the route of a request. It returns nil and the answer if
// there is none.
func newRequest(view *replica.View, in *ingress.Request) (*request, result) {
	if view.Config == nil {
		return nil, refused(outcome.ReasonNoConfiguration, startupRetryAfter)
	}
	route := view.Table.Match(string(in.Header.Host()), string(in.Path()))
	if route == nil {
		return nil, refused(outcome.ReasonNoRoute, 0)
	}
	patience := route.Timeout
	if left, ok := platform.ParseTimeLeft(string(in.Header.Peek(platform.HeaderTimeLeft))); ok {
		patience = min(patience, left)
	}
	r := &request{
		Request:    in,
		id:         string(in.Header.Peek(platform.HeaderRequestID)),
		route:      route,
		service:    pickService(route),
		idempotent: route.Idempotency == dynamic.IdempotentAlways,
		deadline:   in.Received.Add(patience),
		onward:     hop.Onward(&in.Header),
		version:    view.Config.Revision,
	}
	r.due = r.deadline
	if route.LatencyObjective > 0 {
		r.due = in.Received.Add(min(route.LatencyObjective, patience))
	}
	r.fingerprint = poison.NewFingerprint(
		string(in.Header.Method()), string(in.Header.Host()), string(in.Header.RequestURI()), xxhash.Sum64(in.Body()))
	return r, result{}
}

// pickService returns the service of a route, by weight where it is split.
func pickService(route *dynamic.Route) string {
	total := 0
	for _, s := range route.Split {
		total += s.Weight
	}
	if total == 0 {
		return route.Service
	}
	draw := rand.IntN(total)
	for _, s := range route.Split {
		if draw -= s.Weight; draw < 0 {
			return s.Service
		}
	}
	return route.Service
}

// copyOnward returns the request for one target.
func (r *request) copyOnward() *protocol.Request {
	out := &protocol.Request{}
	r.onward.Header.CopyTo(&out.Header)
	out.Header.SetRequestURIBytes(r.onward.Header.RequestURI())
	out.SetBodyRaw(r.Body())
	return out
}

// result is the end of a request or of one attempt.
type result struct {
	outcome outcome.Outcome
	// response is a target's answer; nil if filbertmill itself answers.
	response *protocol.Response
	// target is the target that had the request last, and home the node that
	// chose it; empty if this node chose alone.
	target string
	home   string
	// version is that of the configuration by which the request was routed.
	version dynamic.Revision
}

// refused returns the result of a request that no target has run.
func refused(reason outcome.Reason, retryAfter time.Duration) result {
	o := outcome.New(reason, "", 0)
	o.RetryAfter = retryAfter
	return result{outcome: o}
}

// answer makes the response of a result.
func (n *Node) answer(in *ingress.Request, res result) *protocol.Response {
	n.logAnswer(in, res)
	n.stats.countAnswer(res.outcome, time.Since(in.Received))
	if res.response != nil {
		hop.StripResponse(&res.response.Header)
		return res.response
	}
	r := &protocol.Response{}
	r.SetStatusCode(status(res.outcome))
	id := string(in.Header.Peek(platform.HeaderRequestID))
	if id != "" {
		r.Header.Set(platform.HeaderRequestID, id)
	}
	if row, _ := outcome.Lookup(res.outcome.Reason); row.RetryAfter || res.outcome.Reason == outcome.ReasonPoison {
		r.Header.Set(platform.HeaderRetryAfter, platform.FormatRetryAfter(max(res.outcome.RetryAfter, minRetryAfter)))
	}
	r.Header.SetContentType(outcome.ProblemMediaType)
	r.SetBodyRaw(res.outcome.Problem(id))
	return r
}

// status returns the status of an answer of filbertmill's own. A quarantine is
// told as 429: the platform's callers take other 4xx for a faulty request.
func status(o outcome.Outcome) int {
	if o.Reason == outcome.ReasonPoison {
		return http.StatusTooManyRequests
	}
	return o.Status()
}

// minRetryAfter is the least wait advised: a caller that comes back sooner
// finds the same state.
const minRetryAfter = 50 * time.Millisecond

func (n *Node) logAnswer(in *ingress.Request, res result) {
	code := status(res.outcome)
	if res.response != nil {
		code = res.response.StatusCode()
	}
	line := n.log.Info
	if code >= http.StatusInternalServerError {
		line = n.log.Warn
	}
	line("answered", "request", string(in.Header.Peek(platform.HeaderRequestID)), "host", string(in.Header.Host()),
		"path", string(in.Path()), "status", code, "outcome", res.outcome.Kind, "reason", res.outcome.Reason,
		"detail", res.outcome.Detail, "target", res.target, "home", res.home,
		"version", res.version, "retry_after_ms", res.outcome.RetryAfter.Milliseconds(),
		"elapsed_ms", time.Since(in.Received).Milliseconds())
}
