package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestNoRequestIsServedAfterDrain guards against a process that exits just as a
// request on a keep-alive connection is passed to the handler. It came about when
// the drain's last check ran before the readers had observed that their connections
// end. The test runs on one core, as hosts have one.
func TestNoRequestIsServedAfterDrain(t *testing.T) {
	const callers = 8
	n := newTestNode(t)
	go func() { _ = n.callers.Run() }()
	var conns []net.Conn
	for range callers {
		c, err := net.Dial("tcp", n.callers.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer c.Close()
		fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.Close, qt.IsFalse)
		conns = append(conns, c)
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	before := n.callers.Stats().Handled
	n.drain()
	inFlight := n.callers.InFlight()
	for _, c := range conns {
		fmt.Fprint(c, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	time.Sleep(50 * time.Millisecond) // the process takes up to 200 ms more to write its last log lines
	qt.Check(t, inFlight, qt.Equals, int64(0))
	qt.Check(t, n.callers.Stats().Handled-before, qt.Equals, int64(0), qt.Commentf("requests passed to the handler after the end of the drain"))
}
