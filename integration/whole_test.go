package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
	"filbertmill.example/testbed/answer"
	"filbertmill.example/testbed/target"
)

// Sizes of bodies, in bytes: nodes buffer a body of bufferedBody bytes completely
// before they forward it, and stream one of streamedBody bytes.
const (
	bufferedBody = 900
	streamedBody = 300_000
)

// TestCutAnswerNeverLooksWhole guards against an answer that a target cuts and that
// looks complete to the caller, buffered or streamed, over one hop or two.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	c := qt.New(t)
	targets, ini := startTargets(c, "statusdesk", target.Config{})
	f := startFleet(c, 2, pathConfig+ini)
	for _, chunked := range []bool{false, true} {
		for _, size := range []int{bufferedBody, streamedBody} {
			for i := range f.nodes {
				targets[0].Set(target.Behavior{TruncateShare: 1, TruncateChunked: chunked})
				id := fmt.Sprintf("cut-%t-%d-%d", chunked, size, i)
				s := callerRequest{
					method: "POST", url: f.url(i, "/status/van"), id: id,
					header: map[string]string{answer.HeaderBytes: strconv.Itoa(size)},
				}
				r := s.send()
				c.Check(targets[0].Ledger().Runs(id), qt.HasLen, 1)
				reported := r.failure != nil || r.kind == outcome.Unknown
				c.Check(reported, qt.IsTrue, qt.Commentf("%s: status %d, %d bytes", id, r.status, len(r.body)))

				targets[0].Set(target.Behavior{})
				s.id = id + "-whole"
				r = s.send()
				c.Assert(r.failure, qt.IsNil)
				c.Check(answer.Check(r.body, s.id, answer.DigestOf(nil), size), qt.IsNil)
			}
		}
	}
}

// bodyTarget is a target that reports, for each request body, when it starts to read
// it and the error with which reading ended.
type bodyTarget struct {
	net.Listener
	started chan struct{}
	ended   chan error
}

// startBodyTarget starts a bodyTarget, which is closed at the end of the test.
func startBodyTarget(c *qt.C) *bodyTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t := &bodyTarget{Listener: ln, started: make(chan struct{}, 16), ended: make(chan error, 16)}
	srv := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == target.HealthPath {
			return
		}
		t.started <- struct{}{}
		_, err := io.Copy(io.Discard, r.Body)
		t.ended <- err
	})}
	go func() { _ = srv.Serve(ln) }()
	c.Cleanup(func() { _ = srv.Close() })
	return t
}

// sendPart sends the head of a request and a part of its body, calls wait, and closes
// the connection.
func sendPart(c *qt.C, address, framing, part string, wait func()) {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	w := bufio.NewWriter(conn)
	fmt.Fprintf(w, "POST /status/van HTTP/1.1\r\nHost: van.example\r\n%s\r\n\r\n%s", framing, part)
	c.Assert(w.Flush(), qt.IsNil)
	wait()
}

// TestCutRequestNeverLooksWhole guards against a request that its caller cuts and that
// reaches a target as complete, buffered or streamed, over one hop or two.
func TestCutRequestNeverLooksWhole(t *testing.T) {
	c := qt.New(t)
	tg := startBodyTarget(c)
	ini := "[target t1]\nservice = statusdesk\naddress = " + tg.Addr().String() + "\navailability_zone = kandy\n"
	f := startFleet(c, 2, pathConfig+ini)
	for _, test := range []struct {
		desc    string
		framing string
		size    int
		chunk   bool
	}{
		{"small, with a length", "Content-Length: 1000", bufferedBody, false},
		{"large, with a length", "Content-Length: 400000", streamedBody, false},
		{"small, chunked", "Transfer-Encoding: chunked", bufferedBody, true},
		{"large, chunked", "Transfer-Encoding: chunked", streamedBody, true},
	} {
		for i := range f.nodes {
			part := strings.Repeat("r", test.size)
			if test.chunk {
				part = fmt.Sprintf("%x\r\n%s\r\n", test.size, part)
			}
			if test.size == bufferedBody {
				sendPart(c, f.nodes[i].Spec.Callers, test.framing, part, func() {})
				continue
			}
			sendPart(c, f.nodes[i].Spec.Callers, test.framing, part, func() { <-tg.started })
			c.Check(<-tg.ended, qt.IsNotNil, qt.Commentf("%s, through node %d", test.desc, i))
		}
	}
	// Nodes do not forward buffered bodies that were cut, so the target receives only
	// this complete one.
	r := callerRequest{method: "POST", url: f.url(0, "/status/van"), id: "whole", body: "rug"}.send()
	c.Assert(r.failure, qt.IsNil)
	c.Check(<-tg.ended, qt.IsNil)
	c.Check(tg.ended, qt.HasLen, 0)
}
