package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/testbed/endless"
)

// serveEndless starts a server whose answers have no end. It returns the server's
// address and a channel that receives, for each connection, the number of bytes
// sent before the client closed it.
func serveEndless(c *qt.C, kind endless.Kind, pause time.Duration) (string, <-chan int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ln.Close() })
	closed := make(chan int64, 128)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				r, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil {
					return
				}
				n, _ := endless.Write(nc, kind, AttemptHeader+": "+r.Header.Get(AttemptHeader)+"\r\n", overlongBody, pause)
				closed <- n
			}()
		}
	}()
	return ln.Addr().String(), closed
}

// overlongBody is the part of an overlong answer that its stated length covers.
const overlongBody = "whole"

// endlessLimit is the limit on the body of an answer without end, in bytes.
const endlessLimit = 256 << 10

// getEndless runs an exchange with a server whose answer has no end and returns
// the body.
func getEndless(ctx context.Context, addr string) (string, error) {
	r := &protocol.Request{}
	r.Header.SetHost("test")
	r.Header.SetRequestURI("/")
	ans, f := NewClient(Options{Name: "t"}).Do(ctx, Call{Address: addr, Request: r, MaxResponseBytes: endlessLimit, Unframed: true})
	if f != nil {
		return "", f
	}
	defer ans.Body.Close()
	b, err := io.ReadAll(ans.Body)
	return string(b), err
}

// An answer without end must be rejected as malformed at a size limit, long before
// the deadline and without much memory, and the connection must be closed.
func TestEndlessAnswerStopsAtLimit(t *testing.T) {
	for _, kind := range endless.Kinds {
		t.Run(string(kind), func(t *testing.T) {
			c := qt.New(t)
			addr, closed := serveEndless(c, kind, 0)
			ctx, cancel := context.WithTimeout(c.Context(), 2*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			got, err := getEndless(ctx, addr)
			runtime.ReadMemStats(&after)
			took := time.Since(start)
			if kind == endless.Overlong {
				// The answer ends at its stated length; the bytes behind it belong to
				// no answer.
				c.Check(err, qt.IsNil)
				c.Check(got, qt.Equals, overlongBody)
			} else {
				var f *Failure
				c.Assert(errors.As(err, &f), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(f.Cause, qt.Equals, CauseMalformed, qt.Commentf("%v", err))
				c.Check(f.Stage, qt.Equals, StageReceive)
			}
			c.Check(took < time.Second, qt.IsTrue, qt.Commentf("took %v", took))
			allocated := after.TotalAlloc - before.TotalAlloc
			c.Check(allocated < 16<<20, qt.IsTrue, qt.Commentf("%d bytes allocated", allocated))
			select {
			case <-closed:
			case <-ctx.Done():
				c.Error("the connection was not closed")
			}
		})
	}
}

// An answer without end that arrives byte by byte must not hold the exchange or
// its connection beyond the deadline.
func TestEndlessTrickleStopsAtDeadline(t *testing.T) {
	for _, kind := range endless.Kinds {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			addr, closed := serveEndless(c, kind, time.Millisecond)
			ctx, cancel := context.WithTimeout(c.Context(), 300*time.Millisecond)
			defer cancel()
			start := time.Now()
			got, err := getEndless(ctx, addr)
			c.Check(time.Since(start) < 800*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
			if kind == endless.Overlong {
				c.Check(got, qt.Equals, overlongBody)
			} else {
				c.Check(err, qt.IsNotNil)
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				c.Error("the connection was not closed")
			}
		})
	}
}

// Bytes that are not an HTTP answer, or whose end is ambiguous, must be reported
// as malformed: neither as a success nor as an error status of the server.
func TestInvalidAnswers(t *testing.T) {
	const named = "Filbertmill-Attempt: %A\r\n"
	tests := []struct {
		desc   string
		answer string
		breach Breach
	}{
		{"another protocol with a status", "SIP/2.0 500 no\r\n\r\nno answer<cut>", BreachNotHTTP},
		{"a line with a number", "junk 500 junk\r\n\r\nno answer<cut>", BreachNotHTTP},
		{"a status of two digits", "HTTP/1.1 99 No\r\n" + named + "\r\n<cut>", BreachHead},
		{"a status of six digits", "HTTP/1.1 200000 No\r\n" + named + "\r\n<cut>", BreachHead},
		{"a status beyond 599", "HTTP/1.1 700 No\r\n" + named + "\r\n<cut>", BreachHead},
		{"another protocol from here on", "HTTP/1.1 101 Switching Protocols\r\n" + named + "\r\n<cut>", BreachHead},
		{"a length that fits no integer", "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 99999999999999999999\r\n\r\npart<cut>", BreachFraming},
		{"a length that is no number", "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 4x\r\n\r\npart<cut>", BreachFraming},
		{"a negative length", "HTTP/1.1 200 OK\r\n" + named + "Content-Length: -4\r\n\r\npart<cut>", BreachFraming},
		{"two lengths", "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 9\r\nContent-Length: 4\r\n\r\npart<cut>", BreachFraming},
		{"length and chunks", "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n1\r\np\r\n0\r\n\r\n", BreachFraming},
		{"another transfer coding", "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\np\r\n0\r\n\r\n", BreachFraming},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\n1\r\np\r\n0\r\n\r\n", BreachFraming},
		{"a header without a name", "HTTP/1.1 200 OK\r\n" + named + "no colon\r\n\r\n<cut>", BreachHead},
		{"a header on which hertz panics", "HTTP/1.1 200 OK\r\n" + named + "Trailer: ,\r\nContent-Length: 0\r\n\r\n", BreachHead},
		{"chunks without a size", "HTTP/1.1 200 OK\r\n" + named + "Transfer-Encoding: chunked\r\n\r\nzz\r\n0\r\n\r\n", BreachChunks},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			s := serveScript(c, tt.answer)
			r := &protocol.Request{}
			r.Header.SetHost("test")
			r.Header.SetRequestURI("/")
			ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
			defer cancel()
			ans, f := NewClient(Options{Name: "t"}).Do(ctx, Call{Address: s.ln.Addr().String(), Request: r, Unframed: true})
			if f == nil {
				_, err := io.ReadAll(ans.Body)
				c.Assert(errors.As(err, &f), qt.IsTrue, qt.Commentf("%v", err))
			}
			c.Check(f.Cause, qt.Equals, CauseMalformed)
			c.Check(f.Breach(), qt.Equals, tt.breach, qt.Commentf("%v", f))
		})
	}
}

// The limits and checks must accept all answers that well-behaved targets may send.
func TestValidAnswersPassLimits(t *testing.T) {
	const named = "Filbertmill-Attempt: %A\r\n"
	tests := []struct{ desc, answer string }{
		{"a large head", "HTTP/1.1 200 OK\r\n" + named + "X-Large: " + strings.Repeat("v", 60<<10) + "\r\nContent-Length: 5\r\n\r\nwhole"},
		{"interim answers", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim) + completeAnswer},
		{"empty lines first", "\r\n\r\n" + completeAnswer},
		{"chunks with an extension and trailers", "HTTP/1.1 200 OK\r\n" + named +
			"Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nwho\r\n2\r\nle\r\n0\r\nX-Trailer: t\r\n\r\n"},
		{"the same length twice", "HTTP/1.1 200 OK\r\n" + named + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nwhole"},
		{"a length and other headers in small letters", "HTTP/1.1 200 OK\r\nfilbertmill-attempt: %A\r\ncontent-length:5\r\n\r\nwhole"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			s := serveScript(c, tt.answer, completeAnswer)
			cl := NewClient(Options{Name: "t"})
			for range 2 {
				got, err := get(c, cl, s)
				c.Assert(err, qt.IsNil)
				c.Check(got, qt.Equals, "whole")
			}
			c.Check(s.conns, qt.HasLen, 1)
		})
	}
}

// A body as long as the limit must be accepted in every framing, and a body one
// byte longer rejected.
func TestBodyLimitIsExact(t *testing.T) {
	const limit = 100 << 10
	for _, framing := range []string{"length", "chunked", "none"} {
		for _, size := range []int{limit, limit + 1} {
			c := qt.New(t)
			body := strings.Repeat("b", size)
			answer := map[string]string{
				"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body),
				"chunked": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body),
				"none":    "HTTP/1.1 200 OK\r\n\r\n" + body + "<cut>",
			}[framing]
			r := &protocol.Request{}
			r.Header.SetHost("test")
			r.Header.SetRequestURI("/")
			ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
			ans, f := NewClient(Options{Name: "t"}).Do(ctx, Call{
				Address: serveScript(c, answer).ln.Addr().String(), Request: r, MaxResponseBytes: limit, Unframed: true,
			})
			var got []byte
			var err error
			if f == nil {
				got, err = io.ReadAll(ans.Body)
				_ = errors.As(err, &f)
			}
			cancel()
			if size <= limit {
				c.Check(err, qt.IsNil)
				c.Check(string(got) == body, qt.IsTrue, qt.Commentf("%s: %d of %d bytes", framing, len(got), size))
				continue
			}
			c.Assert(f == nil, qt.IsFalse)
			c.Check(f.Breach(), qt.Equals, BreachBodyTooLarge)
		}
	}
}
