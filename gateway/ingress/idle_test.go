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

// TestCallerThatClosesAsTheIdleLimitStrikes guards against a reader that spins forever
// if a caller closes between the idle deadline and the check whether bytes have
// arrived.
func TestCallerThatClosesAsTheIdleLimitStrikes(t *testing.T) {
	const limit = 50 * time.Millisecond
	var mu sync.Mutex
	var c net.Conn
	var idleSince time.Time
	var limitsCalls atomic.Int64
	e := &echo{limits: Limits{IdleTimeout: limit}, connectionEnds: make(chan ConnectionEnd, 1)}
	h := &limitsHook{echo: e, onLimits: func() {
		limitsCalls.Add(1)
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
	case end := <-e.connectionEnds:
		qt.Check(t, end.End, qt.Equals, EndCaller)
	case <-time.After(2 * time.Second):
		t.Errorf("the connection does not end; Limits was called %d times", limitsCalls.Load())
	}
}
