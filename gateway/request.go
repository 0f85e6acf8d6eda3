package gateway

import (
	"context"
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

// startupRetryAfter is the Retry-After of a node that has no configuration yet.
const startupRetryAfter = 500 * time.Millisecond

const (
	// startupWait limits how long a request waits for the first configuration. The
	// wait is also limited to the caller's time left, divided by startupWaitDivisor.
	startupWait        = 400 * time.Millisecond
	startupWaitDivisor = 4
)

// request is a caller's request with its route, deadlines and memory.
type request struct {
	*ingress.Request
	// id is its id, cut short if it is long.
	id         string
	route      *dynamic.Route
	service    string
	idempotent bool
	// workspace is the workspace of the caller's key; nil if no key is needed.
	workspace *dynamic.Workspace
	// priority is the rank in which requests are served, 0 first.
	priority int
	// deadline is the earlier of the deadlines of the caller and of the route. An
	// answer after softDeadline misses the route's latency objective.
	deadline     time.Time
	softDeadline time.Time
	fingerprint  poison.Fingerprint
	// forwarded is the request without its body as targets receive it, except for
	// the headers that differ between attempts.
	forwarded *protocol.Request
	// version is the revision of the configuration by which it was routed.
	version dynamic.Revision
	// reservations holds the memory of its answers.
	reservations *answerReservations
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
		return n.answer(in, refusedResult(outcome.ReasonShutdown, minRetryAfter))
	}
	view := n.configuredView(ctx, in)
	r, refusal := newRequest(view, n.follower.CopyAge(), &n.splits, in)
	if r == nil {
		return n.answer(in, refusal)
	}
	r.reservations = n.trackAnswers(in.Request)
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	res := n.forwardWithinQuota(ctx, r)
	res.version = r.version
	if r.workspace != nil {
		res.workspace = r.workspace.Name
	}
	return n.answer(in, res)
}

// configuredView returns the current view. A node that has just started waits for
// its first configuration up to startupWait, because a refusal would cost the
// caller more time.
func (n *Node) configuredView(ctx context.Context, in *ingress.Request) *replica.View {
	n.follower.AwaitCurrent(ctx)
	view := n.replica.View()
	if view.Config != nil {
		return view
	}
	wait := startupWait
	if left, ok := platform.ParseTimeLeft(string(in.Header.Peek(platform.HeaderTimeLeft))); ok {
		wait = min(wait, left/startupWaitDivisor)
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

// newRequest returns the request with its route and workspace; copyAge is the age of the
// view. If the request is not allowed, newRequest returns nil and the result to answer with.
func newRequest(view *replica.View, copyAge time.Duration, splits *splitter, in *ingress.Request) (*request, result) {
	if view.Config == nil {
		return nil, refusedResult(outcome.ReasonNoConfiguration, startupRetryAfter)
	}
	route := view.Table.Match(string(in.Header.Host()), string(in.Path()))
	if route == nil {
		return nil, refusedResult(outcome.ReasonNoRoute, 0)
	}
	workspace, refusal, ok := admit(view.Workspaces, route, &in.Header, copyAge)
	if !ok {
		return nil, refusal
	}
	timeout := route.Timeout
	if left, ok := platform.ParseTimeLeft(string(in.Header.Peek(platform.HeaderTimeLeft))); ok {
		timeout = min(timeout, left)
	}
	r := &request{
		Request:    in,
		id:         loggable(in.Header.Peek(platform.HeaderRequestID)),
		route:      route,
		service:    splits.service(route),
		idempotent: route.Idempotency == dynamic.IdempotentAlways,
		deadline:   in.Received.Add(timeout),
		forwarded:  hop.OutboundRequest(&in.Header),
		version:    view.Config.Revision,
		workspace:  workspace,
		priority:   priority(view.Workspaces, workspace, route),
	}
	caller := ""
	if view.Workspaces != nil {
		identify(&r.forwarded.Header, workspace)
	}
	if workspace != nil {
		caller = workspace.Name + "\x00"
	}
	r.softDeadline = r.deadline
	if route.LatencyObjective > 0 {
		r.softDeadline = in.Received.Add(min(route.LatencyObjective, timeout))
	}
	r.fingerprint = poison.NewFingerprint(
		string(in.Header.Method()), string(in.Header.Host()), caller+string(in.Header.RequestURI()), bodyDigest(in))
	return r, result{}
}

// bodyDigest returns a hash of the body of a request.
func bodyDigest(in *ingress.Request) uint64 {
	d := xxhash.New()
	_, _ = in.Content.WriteTo(d) // documented never to fail
	return d.Sum64()
}

// newTargetRequest returns a copy of the request to send to one target.
func (r *request) newTargetRequest() *protocol.Request {
	out := &protocol.Request{}
	r.forwarded.Header.CopyTo(&out.Header)
	out.Header.SetRequestURIBytes(r.forwarded.Header.RequestURI())
	if b, whole := r.Content.Bytes(); whole {
		out.SetBodyRaw(b)
	} else {
		out.SetBodyStream(r.Content.Reader(), int(r.Content.Size()))
	}
	return out
}

// result is the result of a request or of one attempt.
type result struct {
	outcome outcome.Outcome
	// response is the answer of a target, or nil if filbertmill itself answers.
	response *protocol.Response
	// target is the last target that was sent the request. home is the node that
	// assigned it, or empty if this node assigned it without a home.
	target string
	home   string
	// version is the revision of the configuration by which the request was routed.
	version dynamic.Revision
	// workspace names the workspace of the request; empty if it needs no key.
	workspace string
	// listedAt is the store's revision by which the target was in use when the request
	// was sent to it, and copyAge is the age of the node's replica at that time.
	listedAt platform.Revision
	copyAge  time.Duration
	// advice is what the target stated about itself in its answer.
	advice platform.Advice
}

// refusedResult returns the result of a request that no target has run.
func refusedResult(reason outcome.Reason, retryAfter time.Duration) result {
	o := outcome.New(reason, "", 0)
	o.RetryAfter = retryAfter
	return result{outcome: o}
}

// answer logs and counts a result, and returns the response to the caller.
func (n *Node) answer(in *ingress.Request, res result) *protocol.Response {
	n.logAnswer(in, res)
	n.stats.countAnswer(res.outcome, time.Since(in.Received))
	if res.response != nil {
		hop.StripResponse(&res.response.Header)
		return res.response
	}
	r := &protocol.Response{}
	r.SetStatusCode(statusCode(res.outcome))
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

// statusCode returns the status code of an answer by filbertmill itself. A request
// in quarantine is answered with 429, because the platform's callers interpret
// other 4xx codes as a malformed request.
func statusCode(o outcome.Outcome) int {
	if o.Reason == outcome.ReasonPoison {
		return http.StatusTooManyRequests
	}
	return o.Status()
}

// minRetryAfter is the minimum Retry-After of an answer: a caller that retries
// sooner finds the same state.
const minRetryAfter = 50 * time.Millisecond

func (n *Node) logAnswer(in *ingress.Request, res result) {
	code := statusCode(res.outcome)
	if res.response != nil {
		code = res.response.StatusCode()
	}
	logLine := n.log.Info
	if code >= http.StatusInternalServerError {
		logLine = n.log.Warn
	}
	fields := append(adviceFields(res.advice), "request", loggable(in.Header.Peek(platform.HeaderRequestID)), "host", loggable(in.Header.Host()),
		"path", loggable(in.Path()), "status", code, "outcome", res.outcome.Kind, "reason", res.outcome.Reason,
		"detail", res.outcome.Detail, "target", res.target, "home", res.home,
		"version", res.version, "listed_at", res.listedAt, "copy_age_ms", res.copyAge.Milliseconds(), "retry_after_ms", res.outcome.RetryAfter.Milliseconds(),
		"elapsed_ms", time.Since(in.Received).Milliseconds())
	if res.workspace != "" {
		fields = append(fields, "workspace", res.workspace)
	}
	logLine("answered", fields...)
}
