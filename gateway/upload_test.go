package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDrainWaitsForARequestThatIsBeingRead guards against a drain that ends while a
// caller is still sending a request body over a slow link.
func TestDrainWaitsForARequestThatIsBeingRead(t *testing.T) {
	n := newTestNode(t)
	go func() { _ = n.callers.Run() }()
	drained := make(chan time.Time, 1)
	begun := time.Now()
	go func() { n.drain(); drained <- time.Now() }()
	time.Sleep(time.Second)
	c, err := net.Dial("tcp", n.callers.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	const pieces = 20
	fmt.Fprintf(c, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", pieces)
	for range pieces {
		time.Sleep(100 * time.Millisecond)
		fmt.Fprint(c, "x")
	}
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	answered := time.Now()
	end := <-drained
	qt.Check(t, end.After(answered.Add(-50*time.Millisecond)), qt.IsTrue,
		qt.Commentf("the drain ended %s after it began, the answer came after %s", end.Sub(begun), answered.Sub(begun)))
}
