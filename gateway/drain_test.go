package gateway

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestScheduleLeavesTimeForTheLastAnswers guards against a drain that aborts requests
// too early, or leaves no time between that and SIGKILL to write their answers.
func TestScheduleLeavesTimeForTheLastAnswers(t *testing.T) {
	start := time.Now()
	for _, shutdown := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 30 * time.Second} {
		s := newDrainSchedule(start, shutdown)
		kill := start.Add(shutdown)
		qt.Check(t, kill.Sub(s.exitAt), qt.Equals, exitMargin)
		qt.Check(t, s.abortAt.After(s.exitAt), qt.IsFalse)
		qt.Check(t, s.refuseAt.After(s.abortAt), qt.IsFalse)
		if s.exitAt.Sub(start) > shutdown*5/6 {
			qt.Check(t, s.abortAt.After(start.Add(shutdown*5/6)), qt.IsTrue)
		}
	}
	s := newDrainSchedule(start, 6*time.Second)
	qt.Check(t, s.exitAt.Sub(s.abortAt), qt.Equals, answerWriteTime)
	qt.Check(t, newDrainSchedule(start, 0), qt.Equals, newDrainSchedule(start, defaultShutdownTime))
}

// TestDrainWaitsForARequestThatArrivesSlowly guards against a process that exits
// while a request is being read. Such a request counts neither as in flight nor as
// arrived.
func TestDrainWaitsForARequestThatArrivesSlowly(t *testing.T) {
	n := newTestNode(t)
	go func() { _ = n.callers.Run() }()
	c, err := net.Dial("tcp", n.callers.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_, err = c.Write([]byte("POST / HTTP/1.1\r\nHost: g.example\r\nContent-Length: 2\r\n\r\n1"))
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(20 * time.Millisecond)

	drained := make(chan time.Time, 1)
	go func() {
		n.drain()
		drained <- time.Now()
	}()
	time.Sleep(balancerNoticeTime + 500*time.Millisecond)
	_, err = c.Write([]byte("2"))
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.Body.Close(), qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	answered := time.Now()
	qt.Check(t, c.Close(), qt.IsNil)
	qt.Check(t, (<-drained).After(answered), qt.IsTrue, qt.Commentf("the drain ended before the request was answered"))
}
