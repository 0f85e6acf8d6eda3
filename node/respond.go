package node

import (
	"io"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange"
	"filbertmill.example/outcome"
)

// side is the kind of client that receives an answer.
type side uint8

// The receivers of answers.
const (
	callerSide side = iota
	peerSide
)

var errAnswerNotSent = errors.New("the answer was not sent to its end")

// respond writes a result as the answer. It calls the result's onEnd when the
// body was forwarded, which for a large body is after respond has returned.
func (n *Node) respond(ctx *app.RequestContext, id string, res result, s side) {
	h := &ctx.Response.Header
	if res.response != nil {
		copyAnswer(ctx, res.response)
	} else {
		n.writeProblem(ctx, id, res.outcome)
	}
	h.Set(outcome.Header, string(res.outcome.Kind))
	h.Set(headerRequestID, id)
	if s == peerSide {
		h.Set(outcome.ReasonHeader, string(res.outcome.Reason))
		if res.home != "" {
			h.Set(hopHome, res.home)
		}
		setAbandonedClaim(h.Set, res.abandonedClaim)
		h.Set(exchange.AttemptHeader, string(ctx.Request.Header.Peek(exchange.AttemptHeader)))
	}
	if n.draining.Load() {
		ctx.Response.SetConnectionClose()
	}
	n.stats.countAnswer(res.outcome, s)
	writeBody(ctx, res)
}

// copyAnswer copies a target's status and end-to-end headers to the answer.
func copyAnswer(ctx *app.RequestContext, from *protocol.Response) {
	length := from.Header.ContentLength()
	stripResponse(&from.Header)
	from.Header.CopyTo(&ctx.Response.Header)
	if string(ctx.Method()) == "HEAD" && length >= 0 {
		ctx.Response.Header.SetContentLength(length)
	}
}

// writeProblem writes an answer that filbertmill gives itself, in the format
// application/problem+json.
func (n *Node) writeProblem(ctx *app.RequestContext, id string, o outcome.Outcome) {
	h := &ctx.Response.Header
	ctx.Response.SetStatusCode(o.Status())
	h.SetContentType(outcome.ProblemMediaType)
	h.Set(headerProxyStatus, o.ProxyStatus(n.settings.Name))
	if after := o.FormatRetryAfter(); after != "" {
		h.Set(headerRetryAfter, after)
	}
	ctx.Response.SetBodyRaw(o.Problem(id))
}

// writeBody passes the answer's body to the server and calls the result's onEnd
// when the body was forwarded.
func writeBody(ctx *app.RequestContext, res result) {
	onEnd := res.onEnd
	if onEnd == nil {
		onEnd = func(error) {}
	}
	if res.body == nil {
		onEnd(nil)
		return
	}
	if res.body.stream == nil {
		ctx.Response.SetBodyRaw(res.body.small)
		onEnd(nil)
		return
	}
	body := &forwardedBody{src: res.body.stream, conn: ctx.GetConn(), onEnd: onEnd}
	ctx.Response.SetBodyStream(body, res.body.length)
}

// forwardedBody forwards a large body. If its source fails, it closes the
// receiver's connection before hertz can end the body as if it were complete.
type forwardedBody struct {
	src   io.Reader
	conn  network.Conn
	onEnd func(error)
	once  sync.Once
}

// Read reads the next bytes of the body.
func (b *forwardedBody) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.end(nil)
		return n, err
	}
	_ = b.conn.Close()
	b.end(err)
	return n, err
}

// Close ends the forwarding. hertz calls it when it has finished with the body.
func (b *forwardedBody) Close() error {
	b.end(&exchange.Failure{Stage: exchange.StageReceive, Cause: exchange.CauseCancelled, Err: errAnswerNotSent})
	return nil
}

// end calls onEnd, the first time only.
func (b *forwardedBody) end(err error) {
	b.once.Do(func() { b.onEnd(err) })
}
