package ingress

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCallerThatClosesAsTheIdleLimitStrikes guards against a reader that spins for
// ever on a caller's end which arrives between the idle deadline and the look
// whether something has arrived.
func TestCallerThatClosesAsTheIdleLimitStrikes(t *testing.T) {
	const limit = 50 * time.Millisecond
	var mu sync.Mutex
	var c net.Conn
	var idleSince time.Time
	var asked atomic.Int64
	e := &echo{limits: Limits{IdleTimeout: limit}, endings: make(chan ConnectionEnd, 1)}
	h := &hooked{echo: e, limitsAsked: func() {
		asked.Add(1)
		mu.Lock()
		defer mu.Unlock()
		if c == nil || time.Since(idleSince) < limit {
			return
		}
		_ = c.Close()
		c = nil
		time.Sleep(10 * time.Millisecond)
	}}
	_, addr := startWith(t, h, e)
	conn, r := dial(t, addr)
	fmt.Fprintf(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	readAnswer(t, r)
	mu.Lock()
	c, idleSince = conn, time.Now()
	mu.Unlock()
	select {
	case end := <-e.endings:
		qt.Check(t, end.End, qt.Equals, EndCaller)
	case <-time.After(2 * time.Second):
		t.Errorf("the connection does not end; the limits were asked for %d times", asked.Load())
	}
}
