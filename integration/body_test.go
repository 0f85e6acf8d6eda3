package integration

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
	"filbertmill.example/testbed/process"
)

const (
	// largeBody is the size, in bytes, of a large body.
	largeBody = 200 << 20
	// memoryLimit is the most resident memory, in bytes, that a node may use: what the
	// users allow one node for control.
	memoryLimit = 128 << 20
)

// zeroes returns a reader of n zero bytes.
func zeroes(n int64) io.Reader { return io.LimitReader(zeroReader{}, n) }

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// startHandler starts a server as the only target of "statusdesk" and returns the
// fleet configuration for it. The handler serves all requests but health probes.
func startHandler(c *qt.C, h http.HandlerFunc) string {
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/", h)
	s := httptest.NewServer(mux)
	c.Cleanup(s.Close)
	return pathConfig + targetSection(s.Listener.Addr().String())
}

// targetSection returns the configuration of one target of "statusdesk".
func targetSection(address string) string {
	return fmt.Sprintf("[target t-1]\nservice = statusdesk\naddress = %s\navailability_zone = kandy\n", address)
}

// residentPeak returns the largest resident memory that a process has had so far, in
// bytes.
func residentPeak(c *qt.C, n *process.Node) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
	c.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			c.Assert(err, qt.IsNil)
			return kb << 10
		}
	}
	c.Fatal("no VmHWM line")
	return 0
}

// TestLargeBodies guards against nodes that buffer large bodies: bodies of 200 MB
// stream in both directions, over one hop and two, and each node stays below
// memoryLimit.
func TestLargeBodies(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 2, startHandler(c, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		w.Header().Set("Received", strconv.FormatInt(n, 10))
		if r.Method == "GET" {
			_, _ = io.Copy(w, zeroes(largeBody))
		}
	}))
	for i, node := range f.nodes {
		resp, err := http.Get(f.url(i, "/status/large"))
		c.Assert(err, qt.IsNil)
		n, err := io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		c.Assert(err, qt.IsNil)
		c.Check(n, qt.Equals, int64(largeBody))

		resp, err = http.Post(f.url(i, "/status/large"), "application/octet-stream", zeroes(largeBody))
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
		c.Check(resp.Header.Get("Received"), qt.Equals, strconv.Itoa(largeBody))
		peak := residentPeak(c, node)
		c.Check(peak < memoryLimit, qt.IsTrue, qt.Commentf("peak of %s: %d bytes", node.Spec.Name, peak))
	}
}

// TestCutAnswer guards against a large answer that looks complete to its caller
// although the target closed the connection in the middle of the body.
func TestCutAnswer(t *testing.T) {
	for _, length := range []string{"", "1000000"} {
		c := qt.New(t)
		f := startFleet(c, 2, startHandler(c, func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.Copy(w, zeroes(500_000))
			panic(http.ErrAbortHandler)
		}))
		for i := range f.nodes {
			resp, err := http.Get(f.url(i, "/status/cut"))
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			c.Check(err, qt.IsNotNil, qt.Commentf("length %q, node %d", length, i))
		}
	}
}

// TestCutRequest guards against a target that receives a large request as complete
// although the caller closed the connection in the middle of the body.
func TestCutRequest(t *testing.T) {
	for _, header := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		c := qt.New(t)
		started := make(chan struct{}, 4)
		ends := make(chan error, 4)
		f := startFleet(c, 2, startHandler(c, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, 100_000)
			started <- struct{}{}
			_, err := io.Copy(io.Discard, r.Body)
			ends <- err
		}))
		for i := range f.nodes {
			nc, err := net.Dial("tcp", f.nodes[i].Spec.Callers)
			c.Assert(err, qt.IsNil)
			fmt.Fprintf(nc, "POST /status/cut HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n", header)
			if strings.HasPrefix(header, "T") {
				fmt.Fprintf(nc, "%x\r\n", 500_000)
			}
			_, err = io.Copy(nc, zeroes(200_000))
			c.Assert(err, qt.IsNil)
			<-started
			nc.Close()
			c.Check(<-ends, qt.IsNotNil, qt.Commentf("%s, node %d", header, i))
		}
	}
}

// TestCallerLeaves guards against work that goes on, and slots that stay occupied,
// after the caller closed its connection.
func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	started := make(chan struct{}, 4)
	stopped := make(chan struct{}, 4)
	f := startFleet(c, 2, startHandler(c, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status/long" {
			return
		}
		started <- struct{}{}
		<-r.Context().Done()
		stopped <- struct{}{}
	}))
	for i := range f.nodes {
		for range 2 {
			ctx, cancel := context.WithCancel(c.Context())
			req, err := http.NewRequestWithContext(ctx, "GET", f.url(i, "/status/long"), nil)
			c.Assert(err, qt.IsNil)
			go func() {
				if resp, err := http.DefaultClient.Do(req); err == nil {
					resp.Body.Close()
				}
			}()
			<-started
			cancel()
			<-stopped
		}
		resp, err := http.Get(f.url(i, "/status/short"))
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
		c.Check(resp.StatusCode, qt.Equals, 200)
	}
}

// TestConflictingLengths guards against request smuggling: requests whose end two
// HTTP parsers could find at different places are refused.
func TestConflictingLengths(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 1, startHandler(c, func(http.ResponseWriter, *http.Request) {}))
	tests := []struct{ desc, headers string }{
		{"the longer length first", "Content-Length: 5\r\nContent-Length: 4\r\n"},
		{"the longer length last", "Content-Length: 4\r\nContent-Length: 5\r\n"},
		{"length and chunks", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"},
		{"unknown coding", "Transfer-Encoding: gzip\r\n"},
		{"two hosts", "Host: other\r\nContent-Length: 4\r\n"},
	}
	for _, tt := range tests {
		nc, err := net.Dial("tcp", f.nodes[0].Spec.Callers)
		c.Assert(err, qt.IsNil)
		_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
		fmt.Fprintf(nc, "POST /status/x HTTP/1.1\r\nHost: x\r\n%s\r\nabcde", tt.headers)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", tt.desc))
		nc.Close()
		c.Check(resp.StatusCode, qt.Equals, 400, qt.Commentf("%s", tt.desc))
	}
}

// TestPipelinedBodies guards against pipelined requests whose bodies or answers are
// mixed up.
func TestPipelinedBodies(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 1, startHandler(c, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	nc, err := net.Dial("tcp", f.nodes[0].Spec.Callers)
	c.Assert(err, qt.IsNil)
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	for _, body := range []string{"first", "second"} {
		fmt.Fprintf(nc, "POST /status/x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	br := bufio.NewReader(nc)
	for _, body := range []string{"first", "second"} {
		resp, err := http.ReadResponse(br, nil)
		c.Assert(err, qt.IsNil)
		got, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Check(string(got), qt.Equals, body)
		c.Check(resp.Header.Get(outcome.Header), qt.Equals, string(outcome.Run))
	}
}
