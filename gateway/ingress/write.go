package ingress

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"filbertmill.example/exchange"
)

// writeAnswers writes the answers in order. If a write fails, it cancels the
// requests in flight.
func (c *conn) writeAnswers(cancel context.CancelFunc) {
	var broken error
	for p := range c.queue {
		r := <-p.answer
		if broken == nil {
			if broken = c.writeAnswer(p, r); broken != nil {
				cancel()
				c.fail(broken)
			}
		}
		fate := c.finish(p, broken)
		c.server.requestEnded(RequestEnd{RequestRecord: p.RequestRecord, Fate: fate, Err: broken, Ended: time.Now()})
	}
}

// writeAnswer writes one answer and determines whether the connection is closed after
// it.
func (c *conn) writeAnswer(p *pending, r *protocol.Response) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = c.reportPanic(c.record(p), v)
		}
	}()
	c.mu.Lock()
	// The connection closes only after the answer to the last request read from it.
	last := len(c.unanswered) == 1 && c.waiting == nil && (p.last || c.server.draining.Load())
	if last {
		c.closing, p.closes = true, true
	}
	p.WriteBegun = time.Now()
	c.mu.Unlock()
	r.Header.SetConnectionClose(last)
	if p.Request != nil && p.Request.Header.IsHead() {
		r.SkipBody = true
	}
	err = resp.Write(r, exchange.DirectWriter{Conn: c.nc})
	if err == nil {
		err = c.nc.Flush()
	}
	if err == nil && last {
		c.mu.Lock()
		c.setEnd(EndLastAnswer)
		c.mu.Unlock()
		c.closeWrite()
	}
	return err
}

// finish removes a request whose answer was written, or failed with err, and returns
// its fate.
func (c *conn) finish(p *pending, err error) Fate {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = c.unanswered[1:]
	c.finished.Broadcast()
	if len(c.unanswered) == 0 && c.awaitingRequest {
		c.idleSince = time.Now()
		c.setIdleDeadline()
	}
	switch {
	case c.lingering:
		c.setLingerDeadline()
	case c.readingAhead, p.closes:
		// Interrupt the reader: it may be the turn of a waiting request, and a request
		// that is being read after a last answer is not served.
		_ = c.nc.SetReadDeadline(pastDeadline)
	}
	if err == nil {
		return Answered
	}
	return c.unwrittenFate(err)
}

// unwrittenFate returns the fate of a request whose answer could not be written
// because of err. It must be called with mu held.
func (c *conn) unwrittenFate(err error) Fate {
	switch {
	case c.ended && c.end == EndCaller:
		return CallerLeft
	case isTimeout(err):
		return WriteTimedOut
	}
	return WriteFailed
}
