package ingress

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"
)

// A panic is a bug in the program that one request has triggered. It ends this
// request, and at worst its connection; the process continues to serve others.

// Panic describes a panic that was recovered.
type Panic struct {
	// RequestRecord describes the request, as far as it is known.
	RequestRecord
	Value any
	Stack []byte
}

// reportPanic reports a panic to the Observer and returns it as an error; v is the
// value that recover returned.
func (c *conn) reportPanic(course RequestRecord, v any) error {
	c.server.observer.Panicked(Panic{RequestRecord: course, Value: v, Stack: debug.Stack()})
	return errors.Newf("panic: %v", v)
}

// callHandler calls handle, which returns the Handler's answer to a request. It
// answers with 500 if handle panics.
func (c *conn) callHandler(p *pending, handle func() *protocol.Response) (r *protocol.Response) {
	defer func() {
		if v := recover(); v != nil {
			_ = c.reportPanic(c.record(p), v)
			r = plainAnswer(http.StatusInternalServerError)
		}
	}()
	return handle()
}

// mayPipeline asks the Handler whether a request may be in flight together with
// earlier ones. It returns false if the Handler panics.
func (c *conn) mayPipeline(r *protocol.Request) (yes bool) {
	defer func() {
		if v := recover(); v != nil {
			_ = c.reportPanic(RequestRecord{Request: r, Connection: c.number, Received: time.Now()}, v)
			yes = false
		}
	}()
	return c.server.handler.MayPipeline(r)
}

func (c *conn) record(p *pending) RequestRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.RequestRecord
}

// plainAnswer returns an answer to a request for which the Handler has returned none.
func plainAnswer(status int) *protocol.Response {
	r := &protocol.Response{}
	r.SetStatusCode(status)
	r.SetBodyString(http.StatusText(status))
	if status == http.StatusServiceUnavailable {
		r.Header.Set("Retry-After", memoryRetryAfter)
	}
	return r
}
