package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange/hop"
)

// readAll reads requests until the connection ends or is to be closed.
func (c *conn) readAll(ctx context.Context) {
	for {
		r, status := c.read()
		if status != 0 {
			c.refuse(status)
		}
		if r == nil || !c.take(ctx, r) {
			c.linger()
			return
		}
	}
}

// read reads one request. It returns a status if the request cannot be served,
// and nil if the connection has ended.
func (c *conn) read() (_ *Request, status int) {
	onPanic := http.StatusInternalServerError
	defer func() {
		if v := recover(); v != nil {
			_ = c.caught(RequestRecord{Connection: c.number, Received: time.Now()}, v)
			status = onPanic
		}
	}()
	if !c.awaitRequest() {
		return nil, 0
	}
	c.arrived()
	limits := c.server.handler.Limits()
	if !c.beginRead(limits.HeaderTimeout) {
		return nil, 0
	}
	// What the codec cannot parse is no proper request, whatever it makes of it.
	onPanic = http.StatusBadRequest
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
	c.setReadDeadline(bodyTimeout)
	if err := c.readBody(&r, limits.BodyBytes); err != nil {
		return nil, bodyStatus(err)
	}
	// What was read refers to the connection's buffers, which endRead recycles.
	own := &protocol.Request{}
	r.CopyTo(own)
	c.endRead()
	c.server.touch()
	c.server.received()
	return &Request{Request: own, Received: time.Now()}, 0
}

func (c *conn) readBody(r *protocol.Request, limit int) error {
	if r.Header.ContentLength() == 0 {
		return nil
	}
	if r.MayContinue() {
		if err := c.mayContinue(); err != nil {
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
	c.setReadDeadlineLocked(timeout)
	return true
}

// setReadDeadline bounds the reading of a part of a request; zero sets no bound.
func (c *conn) setReadDeadline(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadlineLocked(timeout)
}

func (c *conn) setReadDeadlineLocked(timeout time.Duration) {
	deadline := time.Time{}
	switch {
	case c.closing:
		deadline = pastDeadline
	case timeout > 0:
		deadline = time.Now().Add(timeout)
	}
	_ = c.nc.SetReadDeadline(deadline)
}

// endRead notes that a request was read whole.
func (c *conn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.lastByte = time.Now()
	_ = c.nc.SetReadDeadline(time.Time{})
	_ = c.nc.Release()
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
