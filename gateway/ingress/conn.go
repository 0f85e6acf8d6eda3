package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange/hop"
)

const (
	// writeTimeout bounds the writing of one answer to a caller that does not read.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the reading of one request body.
	bodyTimeout = 10 * time.Second
	// lingerTimeout is how long a connection is read and discarded after its
	// last answer: closing with unread bytes would reset it and lose the answer.
	lingerTimeout = 500 * time.Millisecond
	// idleFactor is how many times the limit an idle connection is kept: callers
	// that count the time differently must not meet a close with a request.
	idleFactor = 3
	// defaultIdleTimeout applies where no limit is set.
	defaultIdleTimeout = 60 * time.Second
	// maxPipelined bounds the requests of one connection in work at once.
	maxPipelined = 8
)

// pending is a request whose answer is due.
type pending struct {
	request *protocol.Request
	answer  chan *protocol.Response
	// last says that the connection closes behind the answer.
	last bool
}

// conn is one caller's connection: a goroutine reads its requests, another
// writes their answers in order.
type conn struct {
	server *Server
	nc     network.Conn
	queue  chan *pending

	mu sync.Mutex
	// unanswered counts the requests read whose answers are not written.
	unanswered int
	// settled is signalled when unanswered falls to 0.
	settled *sync.Cond
	// closing says that no further request is taken.
	closing bool
	// reading says that a request is being read.
	reading bool
	// idleSince is when the connection last became idle.
	idleSince time.Time
}

func newConn(s *Server, nc network.Conn) *conn {
	c := &conn{server: s, nc: nc, queue: make(chan *pending, maxPipelined)}
	c.settled = sync.NewCond(&c.mu)
	return c
}

// run serves the connection until it ends.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAll(cancel)
	}()
	c.readAll(ctx)
	if c.hasUnanswered() {
		// The caller left: nobody waits for what is in work.
		cancel()
	}
	close(c.queue)
	<-written
	_ = c.nc.Close()
}

func (c *conn) hasUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered > 0
}

// readAll reads requests until the connection ends or is to be closed.
func (c *conn) readAll(ctx context.Context) {
	for {
		r, status := c.read()
		if status != 0 {
			c.refuse(status)
		}
		if r == nil || !c.take(ctx, r) {
			c.discard()
			return
		}
	}
}

// read reads one request. It returns a status if the request cannot be served,
// and nil if the connection has ended.
func (c *conn) read() (*Request, int) {
	if !c.awaitRequest() {
		return nil, 0
	}
	limits := c.server.handler.Limits()
	if !c.beginRead(limits.HeaderTimeout) {
		return nil, 0
	}
	r := protocol.Request{}
	if err := req.ReadHeaderWithLimit(&r.Header, c.nc, limits.HeaderBytes); err != nil {
		return nil, headerStatus(err)
	}
	if err := hop.CheckFraming(&r.Header); err != nil {
		return nil, http.StatusBadRequest
	}
	if limits.BodyBytes > 0 && r.Header.ContentLength() > limits.BodyBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	if err := c.readBody(&r, limits.BodyBytes); err != nil {
		return nil, bodyStatus(err)
	}
	// What was read refers to the connection's buffers, which endRead recycles.
	own := &protocol.Request{}
	r.CopyTo(own)
	c.endRead()
	c.server.touch()
	return &Request{Request: own, Received: time.Now()}, 0
}

func (c *conn) readBody(r *protocol.Request, limit int) error {
	if r.Header.ContentLength() == 0 {
		return nil
	}
	if r.MayContinue() {
		if _, err := c.nc.WriteBinary([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
		if err := c.nc.Flush(); err != nil {
			return err
		}
	}
	// Without the last argument hertz would parse a form and write it anew.
	return req.ContinueReadBody(r, c.nc, limit, false)
}

// headerStatus says how an unreadable header is answered; 0 if nobody is there
// to read an answer.
func headerStatus(err error) int {
	switch {
	case errors.Is(err, herrors.ErrHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return http.StatusRequestTimeout
	case isGone(err):
		return 0
	}
	return http.StatusBadRequest
}

// bodyStatus says how an unreadable body is answered.
func bodyStatus(err error) int {
	switch {
	case errors.Is(err, herrors.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case isTimeout(err):
		return http.StatusRequestTimeout
	case isGone(err):
		return 0
	}
	return http.StatusBadRequest
}

// beginRead notes that a request has begun; it reports false if the connection
// takes no more.
func (c *conn) beginRead(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading = true
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = c.nc.SetReadDeadline(deadline)
	return true
}

// endRead notes that a request was read whole.
func (c *conn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.nc.SetReadDeadline(time.Time{})
	_ = c.nc.Release()
}

// take starts the work on a request; it reports false if the connection takes
// no more requests.
func (c *conn) take(ctx context.Context, r *Request) bool {
	repeatable := c.server.handler.Repeatable(r.Request)
	c.mu.Lock()
	// A request behind an answer that closes the connection is sent again by
	// its caller, so one that may run once only must not have begun.
	for c.unanswered > 0 && !c.closing && !repeatable {
		c.settled.Wait()
	}
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.unanswered++
	c.mu.Unlock()
	c.server.inFlight.Add(1)
	p := &pending{request: r.Request, answer: make(chan *protocol.Response, 1), last: r.ConnectionClose()}
	c.queue <- p
	go func() { p.answer <- c.server.handler.Serve(ctx, r) }()
	return !p.last
}

// refuse answers a request that could not be read, behind those in work.
func (c *conn) refuse(status int) {
	c.mu.Lock()
	c.unanswered++
	c.mu.Unlock()
	c.server.inFlight.Add(1)
	p := &pending{answer: make(chan *protocol.Response, 1), last: true}
	r := &protocol.Response{}
	r.SetStatusCode(status)
	r.SetBodyString(http.StatusText(status))
	p.answer <- r
	c.queue <- p
}

// writeAll writes the answers in order. It cancels the work that is left if
// the connection fails.
func (c *conn) writeAll(cancel context.CancelFunc) {
	broken := false
	for p := range c.queue {
		r := <-p.answer
		if !broken && r != nil {
			broken = c.write(p, r) != nil
		}
		if broken {
			cancel()
			_ = c.nc.SetReadDeadline(pastDeadline)
		}
		c.server.inFlight.Add(-1)
	}
}

// pastDeadline interrupts a blocked read when set as its deadline.
var pastDeadline = time.Unix(1, 0)

// write writes one answer and settles whether the connection goes on.
func (c *conn) write(p *pending, r *protocol.Response) error {
	c.mu.Lock()
	// The connection closes only behind the last request read from it.
	last := c.unanswered == 1 && (p.last || c.server.draining.Load())
	if last {
		c.closing = true
	}
	c.mu.Unlock()
	r.Header.SetConnectionClose(last)
	if p.request != nil && p.request.Header.IsHead() {
		r.SkipBody = true
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := resp.Write(r, c.nc)
	if err == nil {
		err = c.nc.Flush()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered--
	if c.unanswered == 0 {
		c.settled.Broadcast()
		if !c.reading {
			c.idleSince = time.Now()
			c.setIdleDeadline()
		}
	}
	if last {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	return err
}

// discard reads what a caller still sends, until it closes or lingerTimeout
// after the last answer.
func (c *conn) discard() {
	c.mu.Lock()
	c.reading = true
	deadline := time.Time{}
	if c.unanswered == 0 {
		deadline = time.Now().Add(lingerTimeout)
	}
	_ = c.nc.SetReadDeadline(deadline)
	c.mu.Unlock()
	buf := make([]byte, 4<<10)
	for {
		if _, err := c.nc.Read(buf); err != nil {
			return
		}
	}
}

// closeIfIdle ends the connection if no request is in work or being read.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered == 0 && !c.reading {
		c.closing = true
		_ = c.nc.SetReadDeadline(pastDeadline)
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, herrors.ErrTimeout) || (errors.As(err, &ne) && ne.Timeout())
}

// isGone reports whether the connection has ended.
func isGone(err error) bool {
	var op *net.OpError
	return errors.IsAny(err, herrors.ErrConnectionClosed, herrors.ErrNothingRead, net.ErrClosed) || errors.As(err, &op) || isEnd(err)
}

// isEnd reports whether err says that the other end closed the connection.
func isEnd(err error) bool { return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF) }
