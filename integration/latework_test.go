package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/testbed/backend"
)

// TestDrainStartsNoWorkThatItWouldCut guards against bookings that are accepted during a
// drain, wait for a target, are sent to it shortly before the process ends, and are cut in
// the middle: their callers cannot know whether they ran. Those that cannot end in time
// must be refused instead.
func TestDrainStartsNoWorkThatItWouldCut(t *testing.T) {
	const backends, slots, work = 2, 4, 2 * time.Second
	f := startGatewayFleet(t, 1, backends)
	for _, b := range f.backends {
		b.Set(backend.Behavior{Work: 10 * time.Millisecond, Works: map[string]time.Duration{"/long/x": work}})
	}
	f.configure(2*shutdownTime, `{"name":"long","kind":"unsafe","slo-s":5,"priority":1,"match":{"prefix":"/long/"},
		"action":{"service":"book","timeout-s":12,"attempts":3}}`)
	f.await("the route is in force", 5*time.Second, func() bool { return f.send(0, "GET", "long", "new").StatusCode != 404 })
	var conns []*callerConn
	round := func(name string, count int) map[int]int {
		for i := range count {
			conns[i].send("POST", "/long/x", fmt.Sprintf("%s-%d", name, i))
		}
		statuses := make(map[int]int)
		for i := range count {
			statuses[conns[i].receive(fmt.Sprintf("%s-%d", name, i))]++
		}
		return statuses
	}
	for range 3 * backends * slots {
		conns = append(conns, f.dial(0))
	}
	// Once it drains, the only node decides by itself, and learns from the first of the
	// late bookings how long they take.
	qt.Assert(t, round("before", backends*slots), qt.DeepEquals, map[int]int{http.StatusOK: backends * slots})
	qt.Assert(t, f.nodes[0].Terminate(), qt.IsNil)
	time.Sleep(2200 * time.Millisecond)
	statuses := round("late", len(conns))
	qt.Check(t, statuses[http.StatusOK] >= backends*slots/2, qt.IsTrue, qt.Commentf("%v", statuses))
	qt.Check(t, statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], qt.Equals, len(conns), qt.Commentf("%v", statuses))
	qt.Check(t, f.nodes[0].Wait(), qt.IsNil)
	ran := 0
	for _, a := range f.ledger.Arrivals() {
		if strings.HasPrefix(a.Request, "late-") {
			ran++
		}
	}
	qt.Check(t, ran, qt.Equals, statuses[http.StatusOK], qt.Commentf("bookings that reached a target; answers %v", statuses))
	f.checkOnce()
}
