package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	qt "github.com/frankban/quicktest"
)

// scriptedServer answers the requests on each connection with raw answers, in
// order. %A in an answer stands for the request's attempt id.
type scriptedServer struct {
	ln    net.Listener
	conns chan net.Conn
	// bodies receives the error of reading each request's body, or nil.
	bodies chan error
}

// serveScript starts a scriptedServer. All connections get the same answers.
func serveScript(c *qt.C, answers ...string) *scriptedServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ln.Close() })
	s := &scriptedServer{ln: ln, conns: make(chan net.Conn, 16), bodies: make(chan error, 16)}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns <- nc
			go s.run(nc, answers)
		}
	}()
	return s
}

// run serves one connection. After an answer that ends in "<cut>" it closes the
// connection.
func (s *scriptedServer) run(nc net.Conn, answers []string) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for _, a := range answers {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, req.Body)
		s.bodies <- err
		text, cut := strings.CutSuffix(a, "<cut>")
		text = strings.ReplaceAll(text, "%A", req.Header.Get(AttemptHeader))
		if _, err := io.WriteString(nc, text); err != nil || cut {
			return
		}
	}
	_, _ = io.Copy(io.Discard, br)
}

// get runs one exchange within 5 s and returns the answer's body.
func get(c *qt.C, cl *Client, s *scriptedServer) (string, error) {
	ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
	defer cancel()
	return getWithin(ctx, cl, s)
}

// getWithin is get with a given context.
func getWithin(ctx context.Context, cl *Client, s *scriptedServer) (string, error) {
	r := &protocol.Request{}
	r.Header.SetHost("test")
	r.Header.SetRequestURI("/")
	ans, f := cl.Do(ctx, Call{Address: s.ln.Addr().String(), Request: r, MaxResponseBytes: 1 << 20})
	if f != nil {
		return "", f
	}
	defer ans.Body.Close()
	b, err := io.ReadAll(ans.Body)
	return string(b), err
}

// completeAnswer is a complete answer that echoes the attempt.
const completeAnswer = "HTTP/1.1 200 OK\r\nFilbertmill-Attempt: %A\r\nContent-Length: 5\r\n\r\nwhole"

// Only an answer whose body has a verified end may count as complete.
func TestAnswerCompleteness(t *testing.T) {
	tests := []struct {
		desc   string
		answer string
		want   string
		stage  Stage
		cause  Cause
	}{
		{desc: "stated length", answer: completeAnswer, want: "whole"},
		{desc: "chunked", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", want: "whole"},
		{desc: "interim answer first", answer: "HTTP/1.1 103 Early Hints\r\n\r\n" + completeAnswer, want: "whole"},
		{desc: "length cut", answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut<cut>", stage: StageReceive, cause: CauseConnection},
		{desc: "chunk cut", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncut<cut>", stage: StageReceive, cause: CauseConnection},
		{desc: "cut between chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n<cut>", stage: StageReceive, cause: CauseConnection},
		{desc: "no length and no chunks", answer: "HTTP/1.1 200 OK\r\n\r\nuntil the end<cut>", stage: StageReceive, cause: CauseMalformed},
		{desc: "longer than allowed", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n", stage: StageReceive, cause: CauseMalformed},
		{desc: "headers cut", answer: "HTTP/1.1 200 OK\r\nContent-Le<cut>", stage: StageAwait, cause: CauseConnection},
		{desc: "no answer", answer: "<cut>", stage: StageAwait, cause: CauseConnection},
		{desc: "another attempt's answer", answer: "HTTP/1.1 200 OK\r\nFilbertmill-Attempt: other\r\nContent-Length: 1\r\n\r\nx", stage: StageReceive, cause: CauseMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			got, err := get(c, NewClient(Options{Name: "t"}), serveScript(c, tt.answer))
			if tt.want != "" {
				c.Assert(err, qt.IsNil)
				c.Check(got, qt.Equals, tt.want)
				return
			}
			var f *Failure
			c.Assert(errors.As(err, &f), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(f.Stage, qt.Equals, tt.stage)
			c.Check(f.Cause, qt.Equals, tt.cause)
		})
	}
}

// A connection may be reused only if its last answer echoed the attempt and no
// byte follows that answer.
func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		desc  string
		first string
		conns int
	}{
		{desc: "verified", first: completeAnswer, conns: 1},
		{desc: "not verified", first: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", conns: 2},
		{desc: "closing", first: "HTTP/1.1 200 OK\r\nFilbertmill-Attempt: %A\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", conns: 2},
		{desc: "doubled", first: completeAnswer + completeAnswer, conns: 2},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			s := serveScript(c, tt.first, completeAnswer)
			cl := NewClient(Options{Name: "t"})
			for range 2 {
				got, err := get(c, cl, s)
				c.Assert(err, qt.IsNil)
				c.Assert(got, qt.Equals, "whole")
			}
			c.Check(s.conns, qt.HasLen, tt.conns)
		})
	}
}

// If answers do not echo the attempt, each exchange must use a connection of its
// own that was opened ahead of need, and no more spare connections may be held
// than Call.SpareConnections.
func TestSpareConnections(t *testing.T) {
	c := qt.New(t)
	s := serveScript(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
	cl := NewClient(Options{Name: "t"})
	addr := s.ln.Addr().String()
	for i := range 3 {
		r := &protocol.Request{}
		r.Header.SetHost("test")
		r.Header.SetRequestURI("/")
		ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
		ans, f := cl.Do(ctx, Call{Address: addr, Request: r, SpareConnections: 1})
		c.Assert(f == nil, qt.IsTrue)
		_, err := io.ReadAll(ans.Body)
		c.Assert(err, qt.IsNil)
		cancel()
		// One connection was used, and one spare connection is ready.
		for len(s.conns) < i+2 || cl.spares.pool.size(addr) < 1 {
			time.Sleep(time.Millisecond)
		}
		c.Assert(s.conns, qt.HasLen, i+2)
	}
	cl.CloseIdle()
	c.Check(cl.Open(), qt.Equals, int64(0))
}

// TestLostConnectionDiscardsSpares guards against a request on a spare connection that was
// opened before a process ended and of whose end the client has not heard.
func TestLostConnectionDiscardsSpares(t *testing.T) {
	c := qt.New(t)
	s := serveScript(c, "<cut>")
	cl := NewClient(Options{Name: "t"})
	addr := s.ln.Addr().String()
	cl.replenish(addr, 3)
	for cl.spares.pool.size(addr) < 3 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(cl.spares.beginDial(addr, 4), qt.IsTrue)
	defer cl.spares.endDial(addr)
	_, err := get(c, cl, s)
	c.Assert(err, qt.ErrorMatches, "await: connection: unexpected EOF")
	c.Check(cl.spares.pool.size(addr), qt.Equals, 0)
	c.Check(cl.Open(), qt.Equals, int64(0))
	c.Check(cl.spares.losses(addr), qt.Equals, 1, qt.Commentf("the connection being opened is kept"))

	s.ln.Close()
	_, err = get(c, cl, s)
	c.Assert(err, qt.ErrorMatches, "dial: connection: .*refused")
	c.Check(cl.spares.losses(addr), qt.Equals, 2)
}

// A busy address must have a spare connection besides the idle one that is reused.
// An address with rare exchanges must have none.
func TestBusyAddressHasSpareConnection(t *testing.T) {
	c := qt.New(t)
	s := serveScript(c, completeAnswer, completeAnswer, completeAnswer)
	cl := NewClient(Options{Name: "t"})
	addr := s.ln.Addr().String()
	exchange := func() {
		r := &protocol.Request{}
		r.Header.SetHost("test")
		r.Header.SetRequestURI("/")
		ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
		defer cancel()
		ans, f := cl.Do(ctx, Call{Address: addr, Request: r, SpareConnections: 1})
		c.Assert(f == nil, qt.IsTrue)
		_, err := io.ReadAll(ans.Body)
		c.Assert(err, qt.IsNil)
	}
	exchange()
	cn := cl.idle.take(addr)
	c.Assert(cn.stopIdleWatch(), qt.IsTrue)
	cl.keep(cn)
	cn.idleSince = cn.idleSince.Add(-2 * busyInterval)
	exchange()
	c.Check(cl.spares.beginDial(addr, 1), qt.IsTrue, qt.Commentf("no spare is held or being opened"))
	cl.spares.endDial(addr)

	exchange()
	for cl.spares.pool.size(addr) != 1 {
		time.Sleep(time.Millisecond)
	}
	c.Check(cl.Open(), qt.Equals, int64(2))
}

// An idle connection must be closed if the server closes it or writes to it.
func TestIdleConnectionWatched(t *testing.T) {
	for _, late := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"} {
		c := qt.New(t)
		s := serveScript(c, completeAnswer, completeAnswer)
		cl := NewClient(Options{Name: "t"})
		_, err := get(c, cl, s)
		c.Assert(err, qt.IsNil)
		nc := <-s.conns
		if late == "" {
			nc.Close()
		} else {
			_, _ = io.WriteString(nc, late)
		}
		for cl.Open() > 0 {
			time.Sleep(time.Millisecond)
		}
		got, err := get(c, cl, s)
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.Equals, "whole")
	}
}

// The connection of an exchange that timed out must be closed, so that its late
// answer cannot reach another request.
func TestTimeoutClosesConnection(t *testing.T) {
	c := qt.New(t)
	s := serveScript(c, "")
	cl := NewClient(Options{Name: "t"})
	ctx, cancel := context.WithTimeout(c.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := getWithin(ctx, cl, s)
	var f *Failure
	c.Assert(errors.As(err, &f), qt.IsTrue)
	c.Check(f.Stage, qt.Equals, StageAwait)
	c.Check(f.Cause, qt.Equals, CauseTimeout)
	c.Check(cl.Open(), qt.Equals, int64(0))
}

// failingReader is a request body whose reading fails after some reads.
type failingReader struct{ left int }

func (r *failingReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, errors.New("the caller left")
	}
	r.left--
	return copy(p, "part"), nil
}

// A request body whose reading fails must never look complete to the target.
func TestTruncatedRequestBody(t *testing.T) {
	for _, length := range []int{-1, 1000} {
		c := qt.New(t)
		s := serveScript(c, completeAnswer)
		r := &protocol.Request{}
		r.Header.SetMethod("POST")
		r.Header.SetHost("test")
		r.Header.SetRequestURI("/")
		r.SetBodyStream(&failingReader{left: 3}, length)
		ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
		_, f := NewClient(Options{Name: "t"}).Do(ctx, Call{Address: s.ln.Addr().String(), Request: r})
		cancel()
		c.Assert(f == nil, qt.IsFalse)
		c.Check(f.Cause, qt.Equals, CauseRequestBody)
		c.Check(<-s.bodies, qt.ErrorIs, io.ErrUnexpectedEOF)
	}
}

// The Failure for a refused connection must report that nothing was sent.
func TestDialRefused(t *testing.T) {
	c := qt.New(t)
	s := serveScript(c)
	s.ln.Close()
	_, err := get(c, NewClient(Options{Name: "t"}), s)
	var f *Failure
	c.Assert(errors.As(err, &f), qt.IsTrue)
	c.Check(f.NotSent(), qt.IsTrue)
}
