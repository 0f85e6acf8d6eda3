package faultproxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startEcho starts an upstream that echoes what it receives, and a proxy in front of
// it.
func startEcho(t *testing.T) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	p, err := Listen("127.0.0.1:0", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *Proxy) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

func send(t *testing.T, c net.Conn, s string) {
	t.Helper()
	_, err := io.WriteString(c, s)
	qt.Assert(t, err, qt.IsNil)
}

func expect(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(c, got)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, want)
}

// waitFor polls a condition until the deadline of the test.
func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for !cond() {
		if t.Context().Err() != nil {
			t.Fatal("the condition was not met")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestForwardsBothDirectionsAndHalfClose(t *testing.T) {
	p := startEcho(t)
	p.Set(ToUpstream, Fault{Delay: time.Millisecond})
	c := dial(t, p)
	send(t, c, "rug")
	c.CloseWrite()
	got, err := io.ReadAll(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, "rug")
}

func TestDelayIsAddedInEachDirection(t *testing.T) {
	const delay = 30 * time.Millisecond
	p := startEcho(t)
	p.Set(ToUpstream, Fault{Delay: delay})
	p.Set(ToCaller, Fault{Delay: delay})
	c := dial(t, p)
	start := time.Now()
	send(t, c, "rug")
	expect(t, c, "rug")
	qt.Assert(t, time.Since(start) >= 4*delay, qt.IsTrue) // including the handshake

	start = time.Now()
	send(t, c, "van")
	expect(t, c, "van")
	qt.Assert(t, time.Since(start) >= 2*delay, qt.IsTrue)
}

func TestBlackHoleInOneDirection(t *testing.T) {
	p := startEcho(t)
	c := dial(t, p)
	send(t, c, "a")
	expect(t, c, "a")
	p.Set(ToCaller, Fault{BlackHole: true})
	send(t, c, "b")
	waitFor(t, func() bool { return p.Lost(ToCaller) == 1 })
	qt.Assert(t, p.Lost(ToUpstream), qt.Equals, int64(0))

	p.Set(ToCaller, Fault{}) // the stream has a gap, so the proxy forwards nothing more
	send(t, c, "c")
	waitFor(t, func() bool { return p.Lost(ToCaller) == 2 })
	c = dial(t, p)
	send(t, c, "d")
	expect(t, c, "d")
}

func TestReleaseReversesHeldSegments(t *testing.T) {
	p := startEcho(t)
	c := dial(t, p)
	p.Set(ToCaller, Fault{Hold: true})
	send(t, c, "a")
	waitFor(t, func() bool { return p.Held(ToCaller) == 1 })
	send(t, c, "b")
	waitFor(t, func() bool { return p.Held(ToCaller) == 2 })
	p.Release(ToCaller, Reversed)
	expect(t, c, "ba")
	send(t, c, "c")
	expect(t, c, "c")
}

func TestTruncateAfter(t *testing.T) {
	p := startEcho(t)
	p.Set(ToCaller, Fault{TruncateAfter: 2})
	c := dial(t, p)
	send(t, c, "rug")
	got, _ := io.ReadAll(c)
	qt.Assert(t, string(got), qt.Equals, "ru")
}

func TestCutAndRefuse(t *testing.T) {
	p := startEcho(t)
	c := dial(t, p)
	send(t, c, "a")
	expect(t, c, "a")
	p.Refuse(true)
	p.Cut()
	_, err := c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)

	refused, err := net.Dial("tcp", p.Address())
	if err == nil { // the reset may also arrive after the connection is established
		defer refused.Close()
		_, err = refused.Read(make([]byte, 1))
	}
	qt.Assert(t, err, qt.ErrorMatches, ".*connection reset by peer")
}

func TestAdmin(t *testing.T) {
	p := startEcho(t)
	tests := []struct {
		desc, method, path, body string
		status                   int
	}{
		{"fault", http.MethodPut, "/faults/to_caller", `{"delay": 1000}`, 200},
		{"unknown key", http.MethodPut, "/faults/to_caller", `{"dealy": 1}`, 400},
		{"unknown direction", http.MethodPut, "/faults/up", `{}`, 404},
		{"cut", http.MethodPost, "/cut", ``, 200},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			w := httptest.NewRecorder()
			p.Admin().ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body)))
			qt.Assert(t, w.Code, qt.Equals, tt.status)
		})
	}
	qt.Assert(t, p.Fault(ToCaller), qt.Equals, Fault{Delay: time.Microsecond})
}
