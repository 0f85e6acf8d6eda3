package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange/account"
)

// readRequests reads requests and hands them to the Handler until the connection
// ends or is to be closed.
func (c *conn) readRequests(ctx context.Context) {
	for {
		r, status := c.readRequest()
		if status != 0 {
			c.rejectUnreadable(status)
		}
		if r == nil || !c.dispatch(ctx, r) {
			c.linger()
			return
		}
	}
}

// readRequest reads one request. It returns the status of the answer if the request
// could not be read, and a nil request and status 0 if the connection has ended.
func (c *conn) readRequest() (request *Request, status int) {
	onPanic := http.StatusInternalServerError
	defer func() {
		if v := recover(); v != nil {
			_ = c.reportPanic(RequestRecord{Connection: c.number, Received: time.Now()}, v)
			request, status = nil, onPanic
		}
	}()
	if !c.awaitRequest() || !c.awaitReader() {
		return nil, 0
	}
	c.noteArrival()
	limits := c.server.handler.Limits()
	if !c.beginRead(limits.HeaderTimeout) {
		return nil, 0
	}
	// Bytes that the codec cannot parse are a bad request, even if it panics on them.
	onPanic = http.StatusBadRequest
	memory := newRequestMemory(c.reading)
	defer func() {
		if status != 0 || request == nil {
			memory.release()
		}
	}()
	r := &protocol.Request{}
	if err := c.readHead(r, memory, limits.HeaderBytes); err != nil {
		return nil, c.status(headerStatus(err))
	}
	c.setReadDeadline(bodyTimeout)
	body, err := c.readBody(r, memory, limits.BodyBytes)
	if err == nil {
		err = memory.moveTo(c.memory)
	}
	if err != nil {
		return nil, c.status(bodyStatus(err))
	}
	if b, whole := body.Bytes(); whole {
		r.SetBodyRaw(b)
	}
	c.endRead()
	c.server.noteArrival()
	c.server.countRead()
	return &Request{Request: r, Content: body, Received: time.Now(), held: memory, memory: c.memory}, 0
}

// status returns the status with which a request is answered that could not be read: the
// given one, unless the reading was aborted since memory is short.
func (c *conn) status(other int) int {
	if c.reading.Aborted() {
		return http.StatusServiceUnavailable
	}
	return other
}

// headerStatus returns the status with which an unreadable header is answered, or 0
// if the caller is not there to read an answer.
func headerStatus(err error) int {
	switch {
	case errors.Is(err, herrors.ErrHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable
	case isTimeout(err):
		return http.StatusRequestTimeout
	case isGone(err):
		return 0
	}
	return http.StatusBadRequest
}

// bodyStatus returns the status with which an unreadable body is answered, or 0 as
// headerStatus does.
func bodyStatus(err error) int {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable
	case isTimeout(err):
		return http.StatusRequestTimeout
	case isGone(err):
		return 0
	}
	return http.StatusBadRequest
}

// beginRead sets the deadline of a header whose first byte has arrived. It returns
// false if the connection accepts no more requests.
func (c *conn) beginRead(timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.setReadDeadlineLocked(timeout)
	return true
}

// setReadDeadline sets the deadline for reading a part of a request. A timeout of
// zero sets none.
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

// requestReader reads the bytes of a request.
type requestReader struct{ *conn }

// Read implements io.Reader. After the deadline it still returns what has arrived: the
// process may have been stopped until then.
func (r requestReader) Read(p []byte) (int, error) {
	n, err := r.socket.Read(p)
	if n == 0 && isTimeout(err) && !r.reading.Aborted() && !r.isClosing() {
		return r.socket.readArrived(p)
	}
	return n, err
}

// isClosing reports whether the connection accepts no more requests.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// endRead records that a request was read completely.
func (c *conn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.lastByte = time.Now()
	_ = c.nc.SetReadDeadline(time.Time{})
	_ = c.nc.Release()
	c.chargeReadAhead(0)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.Is(err, herrors.ErrTimeout) || (errors.As(err, &ne) && ne.Timeout())
}

// isGone reports whether the connection has ended.
func isGone(err error) bool {
	var op *net.OpError
	return errors.IsAny(err, herrors.ErrConnectionClosed, herrors.ErrNothingRead, net.ErrClosed, account.ErrCallerLeft) || errors.As(err, &op) || isEOF(err)
}

// isEOF reports whether err means that the peer closed the connection.
func isEOF(err error) bool { return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF) }
