package ingress

import "time"

// firstRequestTimeout is how long a new connection is kept open for its first
// request while idle connections are closed: usually that request is already in
// transit.
const firstRequestTimeout = 300 * time.Millisecond

// awaitRequest waits for the first byte of the next request. It returns false if
// the connection accepts no more requests. It checks the idle timeout again after
// each deadline, because the timeout may be raised in the meantime and callers then
// rely on the new value.
func (c *conn) awaitRequest() bool {
	c.mu.Lock()
	c.idleSince = time.Now()
	c.mu.Unlock()
	for c.beginWait() {
		_, err := c.nc.Peek(1)
		c.endWait()
		switch {
		case err == nil:
			return true
		case !isTimeout(err):
			c.noteCallerLeft()
			return false
		case c.endIfIdle():
			return false
		}
	}
	return false
}

// beginWait sets the deadline of the wait for the next request. It returns false if
// the connection accepts no more requests.
func (c *conn) beginWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = !c.closing
	if c.awaitingRequest {
		c.setIdleDeadline()
	}
	return c.awaitingRequest
}

func (c *conn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = false
}

// endIfIdle half-closes a connection that has exceeded its idle time, or that is
// idle while the server closes idle connections. It reports whether the connection
// accepts no more requests. Only the reader calls it, so that a request whose first
// byte has arrived is served; a later one arrives after the half-close.
func (c *conn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return true
	}
	if len(c.unanswered) > 0 || time.Now().Before(c.idleEnd()) {
		return false
	}
	switch c.socket.peek() {
	case peekedBytes:
		return false
	case peekedClose:
		c.setEnd(EndCaller)
		return true
	}
	c.closing = true
	if c.server.closingIdle.Load() {
		c.setEnd(EndDrained)
	} else {
		c.setEnd(EndIdle)
	}
	c.closeWrite()
	return true
}

// idleEnd returns the time at which the connection's idle time is exceeded. It must
// be called with mu held.
func (c *conn) idleEnd() time.Time {
	if c.server.closingIdle.Load() {
		if c.requests == 0 {
			return c.opened.Add(firstRequestTimeout)
		}
		return c.idleSince
	}
	idle := c.server.handler.Limits().IdleTimeout
	if idle <= 0 {
		return c.idleSince.Add(defaultIdleTimeout)
	}
	return c.idleSince.Add(idleFactor * idle)
}

// setIdleDeadline sets the deadline of the wait for the next request, or none while
// answers are still to be written. It must be called with mu held.
func (c *conn) setIdleDeadline() {
	deadline := time.Time{}
	if len(c.unanswered) == 0 {
		deadline = c.idleEnd()
	}
	_ = c.nc.SetReadDeadline(deadline)
}

// wake makes the reader check again whether the connection is idle.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest && len(c.unanswered) == 0 {
		_ = c.nc.SetReadDeadline(pastDeadline)
	}
}
