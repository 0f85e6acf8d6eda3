package exchange

import (
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// pastDeadline is a deadline in the past: setting it interrupts blocked reads and
// writes.
var pastDeadline = time.Unix(1, 0)

// conn is a connection that serves one exchange at a time.
type conn struct {
	network.Conn
	client *Client
	addr   string
	// pool is the pool that holds the connection while no exchange uses it.
	pool *connPool
	// idleSince is when the connection was last put into a pool.
	idleSince time.Time
	// maxIdle is the number of idle connections to the address, this one included, up to
	// which it is kept.
	maxIdle int
	// used is set once an exchange has ended on the connection.
	used bool
	// keepAliveLimit is how long the remote end allows the connection to stay
	// idle, or 0 if it did not state a limit.
	keepAliveLimit time.Duration
	// silent receives, after the connection is taken from its pool, whether
	// nothing arrived while it was idle.
	silent chan bool
	// aborted is set once this side has closed the connection.
	aborted atomic.Bool
}

// idleTime returns how long the connection has been idle, or 0 if it is new.
func (c *conn) idleTime() time.Duration {
	if c.idleSince.IsZero() {
		return 0
	}
	return max(time.Since(c.idleSince), 1)
}

// interrupt makes blocked reads and writes fail. It is safe for concurrent use.
func (c *conn) interrupt() {
	_ = c.SetDeadline(pastDeadline)
}

// abort closes the connection. It may be called more than once.
func (c *conn) abort() {
	if c.aborted.CompareAndSwap(false, true) {
		_ = c.Close()
		c.client.open.Add(-1)
	}
}

// startIdleWatch watches the connection while it is idle. If a byte or the end of
// the stream arrives, or the idle time passes, it removes the connection from its
// pool and closes it.
func (c *conn) startIdleWatch(idle time.Duration) {
	c.idleSince = time.Now()
	_ = c.SetDeadline(c.idleSince.Add(idle))
	c.silent = make(chan bool, 1)
	go func() {
		_, err := c.Peek(1)
		if c.pool.remove(c) {
			c.abort()
			return
		}
		c.silent <- err != nil && isTimeout(err)
	}()
}

// stopIdleWatch ends the watch of a connection that was taken from its pool. It
// reports whether the connection may be used.
func (c *conn) stopIdleWatch() bool {
	_ = c.SetReadDeadline(pastDeadline)
	silent := <-c.silent
	return silent && c.Len() == 0
}
