package ingress

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// RequestEnded implements Observer.
func (e *echo) RequestEnded(end RequestEnd) {
	if e.requestEnds != nil {
		e.requestEnds <- end
	}
}

// ConnectionEnded implements Observer.
func (e *echo) ConnectionEnded(end ConnectionEnd) {
	if e.connectionEnds != nil {
		e.connectionEnds <- end
	}
}

// Panicked implements Observer.
func (e *echo) Panicked(p Panic) { e.panics <- p }

// checkStats checks that every request that was read is in flight or has one fate.
func checkStats(t *testing.T, s *Server) {
	t.Helper()
	const settleTime = 5 * time.Second
	var stats Stats
	var sum int64
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		stats, sum = s.Stats(), s.InFlight()
		for _, n := range stats.Ended {
			sum += n
		}
		if sum == stats.Read {
			return
		}
	}
	qt.Check(t, sum, qt.Equals, stats.Read, qt.Commentf("%+v", stats))
}

// TestRequestEndShowsTheWaitForEarlierAnswers checks the times of an answer that
// waits for an earlier one that takes longer. The caller disconnects before a third
// answer.
func TestRequestEndShowsTheWaitForEarlierAnswers(t *testing.T) {
	e := &echo{requestEnds: make(chan RequestEnd, 8), connectionEnds: make(chan ConnectionEnd, 1)}
	s, addr := start(t, e)
	c, r := dial(t, addr)
	_, err := c.Write([]byte("GET /1?ms=200 HTTP/1.1\r\nHost: h\r\n\r\nGET /2?ms=10 HTTP/1.1\r\nHost: h\r\n\r\n"))
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	unanswered := s.Unanswered()
	qt.Assert(t, unanswered, qt.HasLen, 2)
	qt.Check(t, unanswered[0].Ready.IsZero(), qt.IsTrue)
	qt.Check(t, unanswered[1].Ready.IsZero(), qt.IsFalse)
	qt.Check(t, unanswered[1].WriteBegun.IsZero(), qt.IsTrue)
	readAnswer(t, r)
	readAnswer(t, r)
	first, second := <-e.requestEnds, <-e.requestEnds
	qt.Check(t, []Fate{first.Fate, second.Fate}, qt.DeepEquals, []Fate{Answered, Answered})
	qt.Check(t, []int{first.Position, second.Position}, qt.DeepEquals, []int{1, 2})
	qt.Check(t, first.Connection, qt.Equals, second.Connection)
	qt.Check(t, second.WriteBegun.Sub(second.Ready) > 100*time.Millisecond, qt.IsTrue)

	_, err = c.Write([]byte("GET /3?ms=1000 HTTP/1.1\r\nHost: h\r\n\r\n"))
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	_ = c.Close()
	end := <-e.connectionEnds
	qt.Check(t, end.End, qt.Equals, EndCaller)
	qt.Check(t, end.Requests, qt.Equals, 3)
}
