package ingress

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"
)

// A panic is a fault of the program that one request has met. It ends this
// request, and at worst its connection: the process serves others.

// Panic tells of a panic that was caught.
type Panic struct {
	// RequestRecord is that of the request, as far as it was known.
	RequestRecord
	Value any
	Stack []byte
}

// caught tells the Observer of a panic; v is what recover returned.
func (c *conn) caught(course RequestRecord, v any) error {
	c.server.observer.Panicked(Panic{RequestRecord: course, Value: v, Stack: debug.Stack()})
	return errors.Newf("panic: %v", v)
}

// serve has the Handler answer a request.
func (c *conn) serve(p *pending, handle func() *protocol.Response) (r *protocol.Response) {
	defer func() {
		if v := recover(); v != nil {
			_ = c.caught(c.course(p), v)
			r = plainAnswer(http.StatusInternalServerError)
		}
	}()
	return handle()
}

// repeatable asks the Handler whether a request may be in work beside others;
// one with which it cannot deal may not.
func (c *conn) repeatable(r *protocol.Request) (yes bool) {
	defer func() {
		if v := recover(); v != nil {
			_ = c.caught(RequestRecord{Request: r, Connection: c.number, Received: time.Now()}, v)
			yes = false
		}
	}()
	return c.server.handler.MayPipeline(r)
}

func (c *conn) course(p *pending) RequestRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.RequestRecord
}

// plainAnswer returns an answer to a request with which the Handler has not dealt.
func plainAnswer(status int) *protocol.Response {
	r := &protocol.Response{}
	r.SetStatusCode(status)
	r.SetBodyString(http.StatusText(status))
	return r
}
