package ingress

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// slack is the time within which a caller must see the end of its connection. It
// allows for a busy machine.
const slack = 200 * time.Millisecond

// limitsHook calls onLimits whenever the server calls Limits.
type limitsHook struct {
	*echo
	onLimits func()
}

func (h *limitsHook) Limits() Limits {
	h.onLimits()
	return h.echo.Limits()
}

// TestIdleEndIsSentAtOnce guards against an idle connection whose requests are read
// and dropped before its caller can see that the connection has ended.
func TestIdleEndIsSentAtOnce(t *testing.T) {
	const limit = 100 * time.Millisecond
	for name, end := range map[string]func(s *Server){
		"limit": func(*Server) { time.Sleep(idleFactor * limit) },
		"drain": (*Server).CloseIdle,
	} {
		t.Run(name, func(t *testing.T) {
			s, addr := start(t, &echo{limits: Limits{IdleTimeout: limit}})
			c, r := dial(t, addr)
			fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
			readAnswer(t, r)
			begun := time.Now()
			end(s)
			_, err := r.ReadByte()
			qt.Check(t, err, qt.Equals, io.EOF)
			elapsed := time.Since(begun)
			qt.Check(t, elapsed < idleFactor*limit+slack, qt.IsTrue, qt.Commentf("closed after %v", elapsed))
		})
	}
}

// TestRequestsAroundTheIdleLimit guards against requests that are read and dropped on
// a connection that has ended without a half-close. Each request must be answered,
// or its caller must immediately see that the connection has ended.
func TestRequestsAroundTheIdleLimit(t *testing.T) {
	const limit, callers, span = 100 * time.Millisecond, 100, 400 * time.Millisecond
	_, addr := start(t, &echo{limits: Limits{IdleTimeout: limit}})
	var all sync.WaitGroup
	for range callers {
		c, r := dial(t, addr)
		all.Go(func() {
			fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
			readAnswer(t, r)
			time.Sleep(idleFactor*limit - span/4 + rand.N(span))
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := r.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			sent := time.Now()
			if _, err := c.Write([]byte("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
				return
			}
			_, err := r.ReadByte()
			elapsed := time.Since(sent)
			qt.Check(t, err == nil || elapsed < slack, qt.IsTrue, qt.Commentf("%v after %v", err, elapsed))
		})
	}
	all.Wait()
}

// TestRequestThatArrivesAsTheIdleLimitStrikes guards against the loss of a request
// that has arrived and is not read yet when the idle timeout of its connection
// expires.
func TestRequestThatArrivesAsTheIdleLimitStrikes(t *testing.T) {
	const limit = 50 * time.Millisecond
	var mu sync.Mutex
	var c net.Conn
	var idleSince time.Time
	h := &limitsHook{echo: &echo{limits: Limits{IdleTimeout: limit}}, onLimits: func() {
		mu.Lock()
		defer mu.Unlock()
		if c == nil || time.Since(idleSince) < limit {
			return
		}
		_, _ = c.Write([]byte("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"))
		c = nil
		time.Sleep(10 * time.Millisecond)
	}}
	_, addr := startWith(t, h, h.echo)
	conn, r := dial(t, addr)
	fmt.Fprintf(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	readAnswer(t, r)
	mu.Lock()
	c, idleSince = conn, time.Now()
	mu.Unlock()
	resp, _ := readAnswer(t, r)
	qt.Check(t, resp.Header.Get("X-Path"), qt.Equals, "/2")
}

// TestEndIsSentBehindTheLastAnswer guards against an announced close that is delayed:
// callers wait for it, and cannot tell whether what they sent is still read.
func TestEndIsSentBehindTheLastAnswer(t *testing.T) {
	for name, header := range map[string]string{"caller asks": "Connection: close\r\n", "drain": ""} {
		t.Run(name, func(t *testing.T) {
			s, addr := start(t, &echo{})
			if header == "" {
				s.Drain()
			}
			c, r := dial(t, addr)
			fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: h\r\n%s\r\n", header)
			resp, _ := readAnswer(t, r)
			qt.Check(t, resp.Close, qt.IsTrue)
			begun := time.Now()
			_, err := r.ReadByte()
			qt.Check(t, err, qt.Equals, io.EOF)
			elapsed := time.Since(begun)
			qt.Check(t, elapsed < slack, qt.IsTrue, qt.Commentf("closed after %v", elapsed))
		})
	}
}

// TestLastAnswerSurvivesWhatIsSentBehindIt guards against the loss of the last answer
// on a slow link: bytes that arrive after the connection is closed would reset it.
func TestLastAnswerSurvivesWhatIsSentBehindIt(t *testing.T) {
	const size, pause = 1 << 20, time.Second
	_, addr := start(t, &echo{})
	c, r := dial(t, addr)
	qt.Assert(t, c.(*net.TCPConn).SetReadBuffer(64<<10), qt.IsNil)
	fmt.Fprintf(c, "POST /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", size)
	_, err := c.Write(make([]byte, size))
	qt.Assert(t, err, qt.IsNil)
	for begun := time.Now(); time.Since(begun) < pause; time.Sleep(pause / 10) {
		_, _ = c.Write([]byte("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"))
	}
	_, body := readAnswer(t, r)
	qt.Check(t, len(body), qt.Equals, size)
	_, err = r.ReadByte()
	qt.Check(t, err, qt.Equals, io.EOF)
}

// TestHalfCloseCountsAsLeaving checks the handling of a caller that half-closes its
// connection: the requests in flight are cancelled, and an answer that is available
// is still written completely.
func TestHalfCloseCountsAsLeaving(t *testing.T) {
	e := &echo{connectionEnds: make(chan ConnectionEnd, 1)}
	_, addr := start(t, e)
	c, r := dial(t, addr)
	fmt.Fprintf(c, "GET /1?ms=3000 HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	qt.Assert(t, c.(*net.TCPConn).CloseWrite(), qt.IsNil)
	select {
	case path := <-e.cancelled:
		qt.Check(t, path, qt.Equals, "/1")
	case <-time.After(slack):
		t.Errorf("the handler's context was not cancelled")
	}
	resp, _ := readAnswer(t, r)
	qt.Check(t, resp.Header.Get("X-Path"), qt.Equals, "/1")
	_, err := r.ReadByte()
	qt.Check(t, err, qt.Equals, io.EOF)
	qt.Check(t, (<-e.connectionEnds).End, qt.Equals, EndCaller)
}

// TestRequestBehindALastAnswerIsNotPassedOn guards against handling a request that
// was being read when an answer announced that the connection closes.
func TestRequestBehindALastAnswerIsNotPassedOn(t *testing.T) {
	s, addr := start(t, &echo{})
	c, r := dial(t, addr)
	s.Drain()
	fmt.Fprintf(c, "GET /1?ms=50 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
	resp, _ := readAnswer(t, r)
	qt.Check(t, resp.Close, qt.IsTrue)
	_, _ = c.Write([]byte("x"))
	_, err := r.ReadByte()
	qt.Check(t, err, qt.Equals, io.EOF)
	qt.Check(t, s.Stats().Handled, qt.Equals, int64(1))
}
