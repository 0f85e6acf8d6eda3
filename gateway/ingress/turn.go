package ingress

import (
	"net"
	"time"

	"filbertmill.example/exchange/account"
)

const (
	// maxReadAhead limits the bytes read ahead while a request waits for its turn.
	maxReadAhead = 64 << 10
	// leftInterval is the interval at which the reader checks whether the caller has left
	// while it reads nothing.
	leftInterval = 100 * time.Millisecond
)

// chargeReadAhead accounts for the bytes read ahead and for extra bytes to be read. It
// returns false if there is no memory for them.
func (c *conn) chargeReadAhead(extra int) bool {
	need := 2 * int64(len(c.socket.buffered)+extra) // the buffer grows by copying
	if need > c.readAhead && !c.reading.TryGrow(account.Requests, need-c.readAhead) {
		return false
	}
	if need < c.readAhead {
		c.reading.Release(account.Requests, c.readAhead-need)
	}
	c.readAhead = need
	return true
}

// awaitReader waits until the caller has read enough of its answers for another request to
// be read. It returns false if the connection accepts no more requests.
func (c *conn) awaitReader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaitTurn(func() bool { return len(c.unanswered) == 0 || !c.hasUnread() })
}

// hasUnread reports whether the caller has much to read and an answer is being written.
func (c *conn) hasUnread() bool {
	return c.memory.Waits() && c.memory.Used(account.SmallAnswers)+c.memory.Used(account.LargeAnswers) >= unreadBytes
}

// awaitTurn waits until ready returns true; ready is called again after each answer.
// It returns false if the connection accepts no more requests or the caller has
// disconnected. It reads ahead in the meantime. It must be called by the reader, with mu
// held.
func (c *conn) awaitTurn(ready func() bool) bool {
	for !c.closing && !c.callerGone && !ready() {
		if len(c.socket.buffered) >= maxReadAhead || !c.chargeReadAhead(readAheadBytes) {
			c.awaitAnswer()
			continue
		}
		c.readingAhead = true
		_ = c.nc.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		err := c.socket.readAhead()
		c.mu.Lock()
		c.readingAhead = false
		if err != nil && !isTimeout(err) {
			c.callerGone = true
			c.setEnd(EndCaller)
		}
	}
	return !c.closing && !c.callerGone
}

// awaitAnswer waits until an answer was written or has failed, or leftInterval has passed,
// and then checks whether the caller has left. It must be called with mu held.
func (c *conn) awaitAnswer() {
	check := time.AfterFunc(leftInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.finished.Broadcast()
	})
	defer check.Stop()
	c.finished.Wait()
	if !c.callerGone && c.socket.callerLeft() {
		c.callerGone = true
		c.setEnd(EndCaller)
	}
}

// sendContinue waits for the turn of a request with Expect: 100-continue and sends
// the interim answer. No other answer is being written at that time.
func (c *conn) sendContinue() error {
	c.mu.Lock()
	turn := c.awaitTurn(func() bool { return len(c.unanswered) == 0 })
	c.mu.Unlock()
	if !turn {
		return net.ErrClosed
	}
	c.reading.Progress()
	if _, err := c.nc.WriteBinary([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
		return err
	}
	if err := c.nc.Flush(); err != nil {
		return err
	}
	c.setReadDeadline(bodyTimeout)
	return nil
}
