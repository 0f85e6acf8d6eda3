package ingress

import (
	"time"
)

// A connection is closed in three steps. First, its sending side is closed, after
// the last answer if there is one. Second, the connection is kept until the caller
// has closed its side: closing with unread bytes would reset the connection, and
// might lose an answer that is still in transit. Third, it is closed. Requests that
// a caller sends after it was informed of the close are not served.

const (
	// lingerTimeout is how long a caller may take to close its side after the
	// half-close. It may still have to read the last answer over a slow link.
	// Callers that see the half-close close immediately, so that only unreachable
	// ones take the full time.
	lingerTimeout = 5 * time.Second
	// racingRequestDelay replaces lingerTimeout on an idle connection if a request
	// arrives after the half-close, because the caller sent it before it saw that.
	// The last answer was written before the connection became idle.
	racingRequestDelay = 500 * time.Millisecond
)

// pastDeadline interrupts a blocked read when it is set as the read deadline.
var pastDeadline = time.Unix(1, 0)

// closeWrite closes the sending side of the connection. An error is ignored: it
// means that the connection is broken, which the reader detects as well.
func (c *conn) closeWrite() { _ = c.socket.tcp.CloseWrite() }

// linger waits for the caller to close the connection.
func (c *conn) linger() {
	c.mu.Lock()
	idle := c.ended && (c.end == EndIdle || c.end == EndDrained)
	c.mu.Unlock()
	if idle {
		c.awaitClose()
	} else {
		c.discard()
	}
}

// awaitClose waits for the caller of an idle connection to close it, for
// lingerTimeout at most. A request that arrives after the half-close is left unread,
// so that its caller can tell that it was not served. The close is delayed by
// racingRequestDelay nonetheless, because an earlier answer may still be in transit.
func (c *conn) awaitClose() {
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	var first [1]byte
	n, err := c.socket.Read(first[:])
	c.countDiscarded(n)
	if err == nil {
		time.Sleep(racingRequestDelay)
	}
}

// discard reads and drops what a caller still sends, until the caller closes or
// lingerTimeout has passed since the last answer.
func (c *conn) discard() {
	c.mu.Lock()
	c.lingering = true
	c.setLingerDeadline()
	c.mu.Unlock()
	c.countDiscarded(c.nc.Len())
	buf := make([]byte, 4<<10)
	for {
		n, err := c.socket.Read(buf)
		c.countDiscarded(n)
		if err != nil {
			return
		}
	}
}

// setLingerDeadline sets the deadline by which the caller must have closed, or none
// while answers are still to be written. It must be called with mu held.
func (c *conn) setLingerDeadline() {
	deadline := time.Time{}
	if len(c.unanswered) == 0 {
		deadline = time.Now().Add(lingerTimeout)
	}
	_ = c.nc.SetReadDeadline(deadline)
}

// fail closes a connection whose answers cannot be written. The connection accepts
// no further requests, and its caller must not mistake a partial answer for a
// complete one.
func (c *conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memory.Aborted() {
		c.setEnd(EndDisplaced)
	}
	c.setEnd(EndWriteFailed)
	c.closing, c.writeErr = true, err
	c.finished.Broadcast()
	_ = c.nc.Close()
}
