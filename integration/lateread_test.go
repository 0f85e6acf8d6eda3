package integration

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
)

// TestStoppedProcessReadsWhatArrived guards against requests that are refused with 408
// although they arrived in time: the process was stopped for longer than the header
// timeout, and its read deadlines passed before it read what had arrived. Requests whose
// callers left in the meantime must not be sent on.
func TestStoppedProcessReadsWhatArrived(t *testing.T) {
	t.Setenv("GOMAXPROCS", "1") // as on the platform's hosts
	const callers, left = 64, 16
	const stop = 3300 * time.Millisecond // longer than the header timeout
	f := startGatewayFleet(t, 1, 3)
	var conns []*callerConn
	head := func(id string) string {
		return fmt.Sprintf("GET /look/x HTTP/1.1\r\nHost: g.example\r\n%s: %s\r\n%s: 8000\r\n\r\n", platform.HeaderRequestID, id, platform.HeaderTimeLeft)
	}
	id := func(i int) string { return fmt.Sprintf("half-%d", i) }
	for i := range callers {
		c := f.dial(0)
		c.send("GET", "/look/x", fmt.Sprintf("warm-%d", i))
		_ = c.receive(fmt.Sprintf("warm-%d", i))
		_, err := fmt.Fprint(c, head(id(i))[:30])
		qt.Assert(t, err, qt.IsNil)
		conns = append(conns, c)
	}
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, syscall.Kill(f.nodes[0].PID(), syscall.SIGSTOP), qt.IsNil)
	for i, c := range conns {
		_, err := fmt.Fprint(c, head(id(i))[30:])
		qt.Assert(t, err, qt.IsNil)
		if i < left {
			_ = c.Close()
		}
	}
	time.Sleep(stop)
	qt.Assert(t, syscall.Kill(f.nodes[0].PID(), syscall.SIGCONT), qt.IsNil)
	answers := make(map[int]int)
	for i := left; i < callers; i++ {
		answers[conns[i].receive(id(i))]++
	}
	for _, a := range f.ledger.Arrivals() {
		for i := range left {
			qt.Check(t, a.Request, qt.Not(qt.Equals), id(i))
		}
	}
	t.Logf("answers by status: %v", answers)
	qt.Check(t, answers[http.StatusRequestTimeout], qt.Equals, 0)
	qt.Check(t, answers[0], qt.Equals, 0, qt.Commentf("requests without an answer"))
}
