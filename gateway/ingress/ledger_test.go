package ingress

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// RequestEnded implements Observer.
func (e *echo) RequestEnded(d RequestEnd) {
	if e.deliveries != nil {
		e.deliveries <- d
	}
}

// ConnectionEnded implements Observer.
func (e *echo) ConnectionEnded(end ConnectionEnd) {
	if e.endings != nil {
		e.endings <- end
	}
}

// Panicked implements Observer.
func (e *echo) Panicked(p Panic) { e.panics <- p }

// checkLedger checks that every request read is in flight or has one fate.
func checkLedger(t *testing.T, s *Server) {
	t.Helper()
	const settleTime = 5 * time.Second
	var l Stats
	var sum int64
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		l, sum = s.Stats(), s.InFlight()
		for _, n := range l.Ended {
			sum += n
		}
		if sum == l.Read {
			return
		}
	}
	qt.Check(t, sum, qt.Equals, l.Read, qt.Commentf("%+v", l))
}

// TestDeliveryTellsWhatAnAnswerWaitedFor has an answer wait behind one that takes
// longer, and the caller leave before a third.
func TestDeliveryTellsWhatAnAnswerWaitedFor(t *testing.T) {
	e := &echo{deliveries: make(chan RequestEnd, 8), endings: make(chan ConnectionEnd, 1)}
	s, addr := start(t, e)
	c, r := dial(t, addr)
	_, err := c.Write([]byte("GET /1?ms=200 HTTP/1.1\r\nHost: h\r\n\r\nGET /2?ms=10 HTTP/1.1\r\nHost: h\r\n\r\n"))
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(100 * time.Millisecond)
	due := s.Unanswered()
	qt.Assert(t, due, qt.HasLen, 2)
	qt.Check(t, due[0].Ready.IsZero(), qt.IsTrue)
	qt.Check(t, due[1].Ready.IsZero(), qt.IsFalse)
	qt.Check(t, due[1].WriteBegun.IsZero(), qt.IsTrue)
	readAnswer(t, r)
	readAnswer(t, r)
	first, second := <-e.deliveries, <-e.deliveries
	qt.Check(t, []Fate{first.Fate, second.Fate}, qt.DeepEquals, []Fate{Answered, Answered})
	qt.Check(t, []int{first.Position, second.Position}, qt.DeepEquals, []int{1, 2})
	qt.Check(t, first.Connection, qt.Equals, second.Connection)
	qt.Check(t, second.WriteBegun.Sub(second.Ready) > 100*time.Millisecond, qt.IsTrue)

	_, err = c.Write([]byte("GET /3?ms=1000 HTTP/1.1\r\nHost: h\r\n\r\n"))
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	_ = c.Close()
	end := <-e.endings
	qt.Check(t, end.End, qt.Equals, EndCaller)
	qt.Check(t, end.Requests, qt.Equals, 3)
}
