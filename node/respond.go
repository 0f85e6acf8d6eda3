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

// side says who receives an answer.
type side uint8

// The receivers of answers.
const (
	callerSide side = iota
	peerSide
)

var errAnswerNotSent = errors.New("the answer was not sent to its end")

// respond writes a result as the answer. The result is settled once its body
// was passed on, which for a large body happens after respond returns.
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
		setGaveUp(h.Set, res.gaveUp)
		h.Set(exchange.AttemptHeader, string(ctx.Request.Header.Peek(exchange.AttemptHeader)))
	}
	if n.draining.Load() {
		ctx.Response.SetConnectionClose()
	}
	n.stats.countAnswer(res.outcome, s)
	writeBody(ctx, res)
}

// copyAnswer takes over a target's status and end-to-end headers.
func copyAnswer(ctx *app.RequestContext, from *protocol.Response) {
	length := from.Header.ContentLength()
	stripResponse(&from.Header)
	from.Header.CopyTo(&ctx.Response.Header)
	if string(ctx.Method()) == "HEAD" && length >= 0 {
		ctx.Response.Header.SetContentLength(length)
	}
}

// writeProblem writes the answer that filbertmill itself gives.
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

// writeBody gives the answer's body to the server and settles the result once
// the body was passed on.
func writeBody(ctx *app.RequestContext, res result) {
	settle := res.settle
	if settle == nil {
		settle = func(error) {}
	}
	if res.body == nil {
		settle(nil)
		return
	}
	if res.body.stream == nil {
		ctx.Response.SetBodyRaw(res.body.small)
		settle(nil)
		return
	}
	relay := &relayBody{src: res.body.stream, conn: ctx.GetConn(), settle: settle}
	ctx.Response.SetBodyStream(relay, res.body.length)
}

// relayBody passes a large body on. If its source fails, the receiver's
// connection is closed before hertz can end the body as if it were whole.
type relayBody struct {
	src    io.Reader
	conn   network.Conn
	settle func(error)
	once   sync.Once
}

// Read reads the next bytes of the body.
func (b *relayBody) Read(p []byte) (int, error) {
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

// Close ends the passing on; hertz calls it when it has finished with the body.
func (b *relayBody) Close() error {
	b.end(&exchange.Failure{Stage: exchange.StageReceive, Cause: exchange.CauseCancelled, Err: errAnswerNotSent})
	return nil
}

// end settles the result once.
func (b *relayBody) end(err error) {
	b.once.Do(func() { b.settle(err) })
}
