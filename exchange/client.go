package exchange

import (
	"context"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cockroachdb/errors"
)

// AttemptHeader carries the id of the attempt in a request. A target that echoes
// it in its answer proves to which request the answer belongs, so that its
// connection can be reused.
const AttemptHeader = "Filbertmill-Attempt"

// Options are the settings of a Client.
type Options struct {
	// Name is the prefix of the attempt ids. It must be unique in the fleet.
	Name string
	// DialTimeout limits the opening of a connection. Default: 250 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. A longer timeout saves
	// connection set-up, a shorter one frees connections of the target sooner.
	// Default: 30 s.
	IdleTimeout time.Duration
	// SpareTimeout is how long a spare connection is kept. It must be shorter
	// than the time after which targets close a connection without a request.
	// Default: 4 s.
	SpareTimeout time.Duration
	// MaxIdle is the maximum number of idle connections kept for one address.
	// Default: 32.
	MaxIdle int
	// Echo selects how an answer proves to which request it belongs. Default:
	// EchoAttempt.
	Echo Echo
	// EchoHeader is the header that EchoRequestHeader compares.
	EchoHeader string
}

// Echo selects the header that an answer must echo to prove that it belongs to
// its request.
type Echo uint8

// The kinds of echo.
const (
	// EchoAttempt sets AttemptHeader in each request. A connection whose target
	// does not echo it is not reused.
	EchoAttempt Echo = iota
	// EchoRequestHeader compares EchoHeader, which the request already has. An
	// answer is malformed if it names another request, or if it lacks the header and is
	// a success or not the first answer on its connection.
	EchoRequestHeader
	// EchoNone compares nothing and trusts the order of the answers on a connection.
	EchoNone
)

// Default settings of a Client.
const (
	defaultDialTimeout = 250 * time.Millisecond
	defaultIdleTimeout = 30 * time.Second
	defaultMaxIdle     = 32

	defaultSpareTimeout = 4 * time.Second
)

// Client runs exchanges and manages their connections. It is safe for concurrent
// use.
type Client struct {
	opts   Options
	dialer network.Dialer
	// idPrefix begins the attempt ids. It distinguishes them from those of an
	// earlier process with the same name.
	idPrefix string
	attempts atomic.Uint64
	open     atomic.Int64

	idle   *connPool
	spares *spares
}

// NewClient returns a Client. Options that are zero get their defaults.
func NewClient(opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	if opts.MaxIdle == 0 {
		opts.MaxIdle = defaultMaxIdle
	}
	if opts.SpareTimeout == 0 {
		opts.SpareTimeout = defaultSpareTimeout
	}
	return &Client{
		opts:     opts,
		dialer:   standard.NewDialer(),
		idPrefix: opts.Name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
		idle:     newConnPool(),
		spares:   newSpares(),
	}
}

// Call is one request to one address.
type Call struct {
	// Address is the IP address and port.
	Address string
	// Request is the request. Its body may be a stream.
	Request *protocol.Request
	// NoReuse requires a connection that no earlier exchange has used.
	NoReuse bool
	// MaxIdle limits the idle connections to the address further than Options.MaxIdle;
	// 0 does not, and a negative value keeps none.
	MaxIdle int
	// SpareConnections is the number of spare connections to hold for the
	// address, besides the idle ones that can be reused. It is usually the number
	// of requests that the address runs concurrently.
	SpareConnections int
	// MaxResponseBytes limits the answer's body; 0 means no limit.
	MaxResponseBytes int64
	// Unframed accepts an answer without a stated length, whose body ends when
	// its sender closes the connection properly.
	Unframed bool
}

// Answer is an answer whose headers have been received. Body must be read to its
// end or closed.
type Answer struct {
	// Response holds the status and headers; its body is not used.
	Response *protocol.Response
	// Body is the answer's body. Reading it fails unless the body is complete.
	Body *Body
	// Idle is how long the connection was idle before the exchange, or 0 for a
	// new connection.
	Idle time.Duration
}

// Do runs one exchange up to the end of the answer's headers. The context limits
// the complete exchange, including the reading of the body.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, *Failure) {
	cn, f := c.connect(ctx, call)
	if f != nil {
		c.discardSpares(call.Address, f)
		return nil, f
	}
	if d, ok := ctx.Deadline(); ok {
		_ = cn.SetDeadline(d)
	} else {
		_ = cn.SetDeadline(time.Time{})
	}
	stop := context.AfterFunc(ctx, cn.interrupt)
	idle := cn.idleTime()
	ans, f := c.exchange(ctx, cn, call)
	if f != nil {
		stop()
		cn.abort()
		c.discardSpares(call.Address, f)
		f.Idle = idle
		return nil, f
	}
	ans.Idle = idle
	ans.Body.stopInterrupt = stop
	return ans, nil
}

// exchange writes the request and reads the answer's headers.
func (c *Client) exchange(ctx context.Context, cn *conn, call Call) (*Answer, *Failure) {
	cn.maxIdle = c.opts.MaxIdle
	if call.MaxIdle != 0 {
		cn.maxIdle = min(cn.maxIdle, call.MaxIdle)
	}
	id := c.setExpectedEcho(call.Request)
	if f := send(ctx, cn, call.Request); f != nil {
		return nil, f
	}
	r := &protocol.Response{}
	r.SkipBody = string(call.Request.Method()) == "HEAD"
	if err := readHeaders(r, cn); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		stage := StageAwait
		if isBreach(err) {
			stage = StageReceive
		}
		return nil, newFailure(ctx, stage, err)
	}
	verified, ok := c.verifyEcho(cn, r, id)
	if !ok {
		return nil, newFailure(ctx, StageReceive, errOtherAttempt)
	}
	body, err := newBody(ctx, cn, r, call)
	if err != nil {
		return nil, newFailure(ctx, StageReceive, err)
	}
	body.reusable = verified && !r.Header.ConnectionClose()
	cn.keepAliveLimit = keepAliveTimeout(&r.Header)
	if !body.reusable || call.NoReuse {
		c.replenish(call.Address, call.SpareConnections)
	}
	return &Answer{Response: r, Body: body}, nil
}

// setExpectedEcho returns the value that the answer must echo. For EchoAttempt it
// creates the value and sets it in the request.
func (c *Client) setExpectedEcho(r *protocol.Request) string {
	switch c.opts.Echo {
	case EchoRequestHeader:
		return string(r.Header.Peek(c.opts.EchoHeader))
	case EchoNone:
		return ""
	}
	id := c.idPrefix + strconv.FormatUint(c.attempts.Add(1), 36)
	r.Header.Set(AttemptHeader, id)
	return id
}

// verifyEcho checks the answer's echo. Verified is set if the answer certainly
// belongs to the request, ok if it may belong to it. On a connection that an earlier
// exchange has used, an answer without the header may be a repeated one to that exchange.
func (c *Client) verifyEcho(cn *conn, r *protocol.Response, id string) (verified, ok bool) {
	const firstFailure = 300
	switch c.opts.Echo {
	case EchoNone:
		return true, true
	case EchoRequestHeader:
		echo := string(r.Header.Peek(c.opts.EchoHeader))
		if echo == "" {
			return false, r.StatusCode() >= firstFailure && (!cn.used || id == "")
		}
		return echo == id, echo == id
	}
	echo := string(r.Header.Peek(AttemptHeader))
	r.Header.Del(AttemptHeader)
	return echo == id, echo == id || (echo == "" && !cn.used)
}

// keepAliveMargin is how long before the remote end's idle timeout a connection is
// closed, so that no request is sent while the remote end closes it.
const keepAliveMargin = time.Second

// keepAliveTimeout returns how long the connection may stay idle: the timeout in
// the answer's Keep-Alive header less keepAliveMargin, or 0 if it states none.
func keepAliveTimeout(h *protocol.ResponseHeader) time.Duration {
	for part := range strings.SplitSeq(string(h.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-keepAliveMargin, time.Millisecond)
	}
	return 0
}

// send writes the complete request.
func send(ctx context.Context, cn *conn, r *protocol.Request) *Failure {
	var src *requestBodyReader
	if r.IsBodyStream() {
		src = &requestBodyReader{src: r.BodyStream(), cn: cn}
		r.SetBodyStream(src, r.Header.ContentLength())
	}
	err := req.Write(r, DirectWriter{cn.Conn})
	if err == nil {
		err = cn.Flush()
	}
	if src != nil && src.err != nil {
		return &Failure{Stage: StageSend, Cause: CauseRequestBody, Err: src.err}
	}
	if err != nil {
		return newFailure(ctx, StageSend, err)
	}
	return nil
}

// connect returns a connection for the call: an idle one whose last exchange
// ended cleanly, a spare one, or a new one, in this order of preference.
func (c *Client) connect(ctx context.Context, call Call) (*conn, *Failure) {
	if err := ctx.Err(); err != nil {
		return nil, newFailure(ctx, StageDial, err)
	}
	if !call.NoReuse {
		if cn := takeUsable(c.idle, call.Address); cn != nil {
			c.openSpareIfBusy(call, cn)
			return cn, nil
		}
	}
	if cn := takeUsable(c.spares.pool, call.Address); cn != nil {
		c.replenish(call.Address, call.SpareConnections)
		return cn, nil
	}
	return c.dial(ctx, call.Address)
}

// takeUsable takes connections from the pool until it finds one on which nothing
// has arrived while it was idle. It closes the others and returns nil if there is
// no such connection.
func takeUsable(p *connPool, addr string) *conn {
	for {
		cn := p.take(addr)
		if cn == nil || cn.stopIdleWatch() {
			return cn
		}
		cn.abort()
	}
}

// dial opens a new connection.
func (c *Client) dial(ctx context.Context, addr string) (*conn, *Failure) {
	timeout := c.opts.DialTimeout
	if d, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(d))
	}
	if timeout <= 0 {
		return nil, newFailure(ctx, StageDial, context.DeadlineExceeded)
	}
	nc, err := c.dialer.DialConnection("tcp", addr, timeout, nil)
	if err != nil {
		return nil, &Failure{Stage: StageDial, Cause: CauseConnection, Err: err}
	}
	c.open.Add(1)
	return &conn{Conn: nc, client: c, addr: addr}, nil
}

// keep makes a connection whose exchange ended cleanly available for reuse.
func (c *Client) keep(cn *conn) {
	cn.used = true
	idle := c.opts.IdleTimeout
	if cn.keepAliveLimit > 0 {
		idle = min(idle, cn.keepAliveLimit)
	}
	if !c.idle.put(cn, cn.maxIdle, func(cn *conn) { cn.startIdleWatch(idle) }) {
		cn.abort()
	}
}

// HasIdle reports whether there is an idle connection to the address.
func (c *Client) HasIdle(addr string) bool { return c.idle.size(addr) > 0 }

// Open returns the number of open connections, in use or not.
func (c *Client) Open() int64 { return c.open.Load() }

// CloseIdle closes the idle and the spare connections.
func (c *Client) CloseIdle() {
	for _, cn := range append(c.idle.takeAll(), c.spares.pool.takeAll()...) {
		cn.stopIdleWatch()
		cn.abort()
	}
}
