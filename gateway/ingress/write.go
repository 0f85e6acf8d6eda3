package ingress

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// writeAll writes the answers in order. It cancels the work that is left if
// the connection fails.
func (c *conn) writeAll(cancel context.CancelFunc) {
	var broken error
	for p := range c.queue {
		r := <-p.answer
		if broken == nil {
			if broken = c.write(p, r); broken != nil {
				cancel()
				c.fail(broken)
			}
		}
		fate := c.settle(p, broken)
		c.server.delivered(RequestEnd{RequestRecord: p.RequestRecord, Fate: fate, Err: broken, Ended: time.Now()})
	}
}

// write writes one answer and settles whether the connection goes on.
func (c *conn) write(p *pending, r *protocol.Response) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = c.caught(c.course(p), v)
		}
	}()
	c.mu.Lock()
	// The connection closes only behind the last request read from it.
	last := len(c.due) == 1 && c.next == nil && (p.last || c.server.draining.Load())
	if last {
		c.closing, p.closes = true, true
	}
	p.WriteBegun = time.Now()
	c.mu.Unlock()
	r.Header.SetConnectionClose(last)
	if p.Request != nil && p.Request.Header.IsHead() {
		r.SkipBody = true
	}
	err = resp.Write(r, c.nc)
	if err == nil {
		err = c.nc.Flush()
	}
	if err == nil && last {
		c.mu.Lock()
		c.endAs(EndLastAnswer)
		c.mu.Unlock()
		c.sendEnd()
	}
	return err
}

// settle ends the wait for an answer that was written, or cannot be, and
// returns the fate of its request.
func (c *conn) settle(p *pending, err error) Fate {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = c.due[1:]
	c.settled.Broadcast()
	if len(c.due) == 0 && c.awaiting {
		c.idleSince = time.Now()
		c.setIdleDeadline()
	}
	switch {
	case c.lingering:
		c.setLingerDeadline()
	case c.queued, p.closes:
		// The reader looks again: a waiting request may have its turn, and what
		// is being read behind a last answer is not served.
		_ = c.nc.SetReadDeadline(pastDeadline)
	}
	if err == nil {
		return Answered
	}
	return c.unwritten(err)
}

// unwritten returns the fate of a request whose answer cannot be written. It must
// be called with mu held.
func (c *conn) unwritten(err error) Fate {
	switch {
	case c.ended && c.end == EndCaller:
		return CallerLeft
	case isTimeout(err):
		return WriteTimedOut
	}
	return WriteFailed
}
