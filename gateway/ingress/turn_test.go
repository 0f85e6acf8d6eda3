package ingress

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/exchange/account"
)

// TestLeavingIsNoticedWhileARequestWaits guards against work that continues for a
// caller that has disconnected, while a later request of its connection waits for
// its turn.
func TestLeavingIsNoticedWhileARequestWaits(t *testing.T) {
	const work = "GET /work?ms=3000 HTTP/1.1\r\nHost: h\r\n\r\n"
	const once = "POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	for name, send := range map[string]string{
		"for earlier answers": work + once,
		"behind it":           work + once + strings.Repeat(once, 100),
		"for room":            strings.Repeat(work, 3*maxPipelined),
		"to send its body":    work + "POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := &echo{connectionEnds: make(chan ConnectionEnd, 1)}
			s, addr := start(t, e)
			c, _ := dial(t, addr)
			_, err := c.Write([]byte(send))
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
			select {
			case path := <-e.cancelled:
				qt.Check(t, path, qt.Equals, "/work")
			case <-time.After(slack):
				t.Errorf("the handler's context was not cancelled")
			}
			end := <-e.connectionEnds
			qt.Check(t, end.End, qt.Equals, EndCaller)
			qt.Check(t, s.Stats().Handled <= maxPipelined, qt.IsTrue, qt.Commentf("waiting requests were not handled"))
		})
	}
}

// TestLeavingIsNoticedWhileARequestWaitsForMemory guards against work for a caller that
// disconnected while a request on its connection waited for memory.
func TestLeavingIsNoticedWhileARequestWaitsForMemory(t *testing.T) {
	const noticeTime = 500 * time.Millisecond
	const work = "GET /work?ms=3000 HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, behind := range map[string]string{
		"for its head": work,
		"for its body": "POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000),
		"behind it":    "POST /once HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + work,
	} {
		t.Run(name, func(t *testing.T) {
			e := &echo{connectionEnds: make(chan ConnectionEnd, 1)}
			s, addr := start(t, e)
			c, _ := dial(t, addr)
			_, err := c.Write([]byte(work))
			qt.Assert(t, err, qt.IsNil)
			for s.Stats().Handled == 0 {
				time.Sleep(time.Millisecond)
			}
			class := account.Requests
			if name == "for its body" {
				class = account.SmallBodies
				s.limitBodies(1 << 20)
			}
			others := s.account.NewHolder(nil)
			others.Add(class, s.memoryBytes)
			_, err = c.Write([]byte(behind))
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
			select {
			case path := <-e.cancelled:
				qt.Check(t, path, qt.Equals, "/work")
			case <-time.After(noticeTime):
				t.Errorf("the handler's context was not cancelled")
			}
			others.Close()
			end := <-e.connectionEnds
			qt.Check(t, end.End, qt.Equals, EndCaller)
			qt.Check(t, s.Stats().Handled, qt.Equals, int64(1), qt.Commentf("waiting requests were handled"))
		})
	}
}

// TestInterimAnswerKeepsItsPlace guards against an interim answer, 100 Continue, that
// is written before, or in the middle of, the answer to an earlier request.
func TestInterimAnswerKeepsItsPlace(t *testing.T) {
	_, addr := start(t, &echo{})
	c, r := dial(t, addr)
	fmt.Fprintf(c, "GET /1?ms=100 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
	resp, _ := readAnswer(t, r)
	qt.Check(t, resp.Header.Get("X-Path"), qt.Equals, "/1")
	resp, _ = readAnswer(t, r)
	qt.Check(t, resp.StatusCode, qt.Equals, 100)
	_, _ = c.Write([]byte("x"))
	resp, body := readAnswer(t, r)
	qt.Check(t, resp.Header.Get("X-Path"), qt.Equals, "/2")
	qt.Check(t, string(body), qt.Equals, "x")
}

// TestDrainServesARequestThatWaits guards against dropping a request that was read
// completely and waits for an earlier answer, because that answer closes the
// connection.
func TestDrainServesARequestThatWaits(t *testing.T) {
	s, addr := start(t, &echo{})
	c, r := dial(t, addr)
	fmt.Fprintf(c, "GET /1?ms=200 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	time.Sleep(50 * time.Millisecond)
	qt.Check(t, s.InFlight(), qt.Equals, int64(2))
	qt.Check(t, len(s.Unanswered()), qt.Equals, 2)
	s.Drain()
	first, _ := readAnswer(t, r)
	qt.Check(t, first.Close, qt.IsFalse)
	second, _ := readAnswer(t, r)
	qt.Check(t, second.Close, qt.IsTrue)
	qt.Check(t, second.Header.Get("X-Path"), qt.Equals, "/2")
}

// TestCallerThatLeavesBehindAFullQueueIsNoticed guards against work that continues
// for a caller that has disconnected, while the reader of its connection waits for
// space in the queue or for earlier answers.
func TestCallerThatLeavesBehindAFullQueueIsNoticed(t *testing.T) {
	for name, behind := range map[string]string{
		"queue full":         strings.Repeat("GET /x?ms=3000 HTTP/1.1\r\nHost: h\r\n\r\n", maxPipelined+2),
		"not pipelined":      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
		"one more in flight": "GET /x?ms=3000 HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := &echo{}
			_, addr := start(t, e)
			c, _ := dial(t, addr)
			fmt.Fprint(c, "GET /gone?ms=3000 HTTP/1.1\r\nHost: h\r\n\r\n"+behind)
			time.Sleep(50 * time.Millisecond)
			_ = c.Close()
			select {
			case <-e.cancelled:
			case <-time.After(time.Second):
				t.Errorf("the handler's context was not cancelled")
			}
		})
	}
}
