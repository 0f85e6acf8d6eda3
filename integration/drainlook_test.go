package integration

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/backend"
)

// TestDrainAnswersRequestsThatArriveAtItsLastCheck guards against a process that ends
// although requests have arrived on kept-alive connections: the last check of the
// drain counted only bytes that the goroutines reading the connections had received.
func TestDrainAnswersRequestsThatArriveAtItsLastCheck(t *testing.T) {
	t.Setenv("GOMAXPROCS", "1") // as on the platform's hosts
	const callers, trials, pause = 40, 2, 100 * time.Millisecond
	f := startGatewayFleet(t, 1, 3)
	for _, b := range f.backends {
		b.Set(backend.Behavior{Work: 200 * time.Millisecond})
	}
	lost, unhandled := 0, 0
	for trial := range trials {
		n := f.nodes[len(f.nodes)-1]
		var conns []*callerConn
		for i := range callers {
			c := f.dial(0)
			c.send("GET", "/look/x", fmt.Sprintf("warm-%d-%d", trial, i))
			conns = append(conns, c)
		}
		for i, c := range conns {
			_ = c.receive(fmt.Sprintf("warm-%d-%d", trial, i))
		}
		term := time.Now()
		qt.Assert(t, syscall.Kill(n.PID(), syscall.SIGTERM), qt.IsNil)
		// The process does not run for a tenth of a second, as on hosts that limit CPU
		// time by a quota. In this time callers send further requests.
		time.Sleep(time.Until(term.Add(2450 * time.Millisecond)))
		qt.Assert(t, syscall.Kill(n.PID(), syscall.SIGSTOP), qt.IsNil)
		time.Sleep(pause / 2)
		for i, c := range conns {
			_, _ = fmt.Fprintf(c, "GET /look/x HTTP/1.1\r\nHost: g.example\r\n%s: late-%d-%d\r\n%s: 3000\r\n\r\n",
				platform.HeaderRequestID, trial, i, platform.HeaderTimeLeft)
		}
		time.Sleep(pause / 2)
		qt.Assert(t, syscall.Kill(n.PID(), syscall.SIGCONT), qt.IsNil)
		answered, unread := 0, 0
		answers := make(map[string]int)
		for i, c := range conns {
			id := fmt.Sprintf("late-%d-%d", trial, i)
			resp, err := http.ReadResponse(c.r, nil)
			ran := 0
			for _, a := range f.ledger.Arrivals() {
				if a.Request == id {
					ran++
				}
			}
			switch {
			case err == nil:
				answered++
				answers[fmt.Sprintf("status %d, arrivals %d", resp.StatusCode, ran)]++
				if resp.StatusCode != 200 && ran > 0 {
					lost++
				}
			case ran > 0:
				lost++
				t.Logf("%s was passed on and has no answer: %v", id, err)
			default:
				unread++
			}
			_ = c.Close()
		}
		unhandled += unread
		_ = n.Wait()
		t.Logf("trial %d: %d answered (%v), %d not passed on; the process ended by %s after SIGTERM", trial, answered, answers, unread, time.Since(term))
		f.startNode(f.specs[0])
		qt.Assert(t, f.nodes[len(f.nodes)-1].Ready(t.Context()), qt.IsNil)
		f.await("all targets are known", 5*time.Second, func() bool { return f.send(0, "GET", "look", fmt.Sprint("w", trial)).StatusCode == 200 })
	}
	qt.Check(t, lost, qt.Equals, 0)
	qt.Check(t, unhandled, qt.Equals, 0, qt.Commentf("requests that had arrived 50 ms before the process went on"))
}
