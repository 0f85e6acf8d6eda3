package exchange

import (
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// pastDeadline interrupts a blocked read or write when set as a deadline.
var pastDeadline = time.Unix(1, 0)

// conn is a connection that serves one exchange at a time.
type conn struct {
	network.Conn
	client *Client
	addr   string
	// shelf holds the connection while no exchange uses it.
	shelf *shelf
	// parked is when the connection was last put on a shelf.
	parked time.Time
	// keepFor is how long the other end lets it stay idle; 0 if it did not say.
	keepFor time.Duration
	// watch receives, once the connection is taken from its shelf, whether
	// it stayed silent while it was idle.
	watch chan bool
	// aborted is set when the connection was closed on purpose.
	aborted atomic.Bool
}

// idleTime returns how long the connection has been unused, or 0 if it is new.
func (c *conn) idleTime() time.Duration {
	if c.parked.IsZero() {
		return 0
	}
	return max(time.Since(c.parked), 1)
}

// interrupt makes blocked reads and writes fail. It may be called from any goroutine.
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

// park watches an idle connection: a byte or an end that arrives while no
// exchange is running makes it unusable.
func (c *conn) park(idle time.Duration) {
	c.parked = time.Now()
	_ = c.SetDeadline(c.parked.Add(idle))
	c.watch = make(chan bool, 1)
	go func() {
		_, err := c.Peek(1)
		if c.shelf.remove(c) {
			c.abort()
			return
		}
		c.watch <- err != nil && isTimeout(err)
	}()
}

// unpark ends the watch of a connection that was taken from its shelf and
// reports whether it may be used.
func (c *conn) unpark() bool {
	_ = c.SetReadDeadline(pastDeadline)
	silent := <-c.watch
	return silent && c.Len() == 0
}
