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

// held bodies are kept in memory on the way, streamed ones are passed on.
const (
	heldBody     = 900
	streamedBody = 300_000
)

// An answer that a target cuts short never looks whole, on one hop or two.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	c := qt.New(t)
	targets, ini := startTargets(c, "statusdesk", target.Config{})
	f := startFleet(c, 2, pathConfig+ini)
	for _, chunked := range []bool{false, true} {
		for _, size := range []int{heldBody, streamedBody} {
			for i := range f.nodes {
				targets[0].Set(target.Behavior{TruncateShare: 1, TruncateChunked: chunked})
				id := fmt.Sprintf("cut-%t-%d-%d", chunked, size, i)
				s := sending{
					method: "POST", url: f.url(i, "/status/van"), id: id,
					header: map[string]string{answer.HeaderBytes: strconv.Itoa(size)},
				}
				r := s.send()
				c.Check(targets[0].Ledger().Runs(id), qt.HasLen, 1)
				told := r.failure != nil || r.kind == outcome.Unknown
				c.Check(told, qt.IsTrue, qt.Commentf("%s: status %d, %d bytes", id, r.status, len(r.body)))

				targets[0].Set(target.Behavior{})
				s.id = id + "-whole"
				r = s.send()
				c.Assert(r.failure, qt.IsNil)
				c.Check(answer.Check(r.body, s.id, answer.DigestOf(nil), size), qt.IsNil)
			}
		}
	}
}

// bodyTarget is a target that reports how each body that it reads ended.
type bodyTarget struct {
	net.Listener
	started chan struct{}
	ended   chan error
}

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

// sendPart sends the head of a request and a part of its body, and closes the
// connection after the given wait.
func sendPart(c *qt.C, address, framing, part string, wait func()) {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	w := bufio.NewWriter(conn)
	fmt.Fprintf(w, "POST /status/van HTTP/1.1\r\nHost: van.example\r\n%s\r\n\r\n%s", framing, part)
	c.Assert(w.Flush(), qt.IsNil)
	wait()
}

// A request that its caller cuts short never reaches a target as a whole one,
// on one hop or two.
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
		{"small, with a length", "Content-Length: 1000", heldBody, false},
		{"large, with a length", "Content-Length: 400000", streamedBody, false},
		{"small, chunked", "Transfer-Encoding: chunked", heldBody, true},
		{"large, chunked", "Transfer-Encoding: chunked", streamedBody, true},
	} {
		for i := range f.nodes {
			part := strings.Repeat("r", test.size)
			if test.chunk {
				part = fmt.Sprintf("%x\r\n%s\r\n", test.size, part)
			}
			if test.size == heldBody {
				sendPart(c, f.nodes[i].Spec.Callers, test.framing, part, func() {})
				continue
			}
			sendPart(c, f.nodes[i].Spec.Callers, test.framing, part, func() { <-tg.started })
			c.Check(<-tg.ended, qt.IsNotNil, qt.Commentf("%s, through node %d", test.desc, i))
		}
	}
	// Small cut bodies stop at the node: all that comes is this whole one.
	r := sending{method: "POST", url: f.url(0, "/status/van"), id: "whole", body: "rug"}.send()
	c.Assert(r.failure, qt.IsNil)
	c.Check(<-tg.ended, qt.IsNil)
	c.Check(tg.ended, qt.HasLen, 0)
}
