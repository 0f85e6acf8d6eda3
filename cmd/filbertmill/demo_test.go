package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDemoSuggestions guards against suggestions of the demo that fail when a user
// tries them. It runs each suggested filbertmill command against the demo.
func TestDemoSuggestions(t *testing.T) {
	c := qt.New(t)
	t.Chdir(t.TempDir())
	d, err := newDemo(t.Context(), io.Discard)
	t.Cleanup(d.close)
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.run(ctx) }()
	defer func() {
		stop()
		c.Check(<-ended, qt.IsNil)
	}()
	awaitStatus(c, "http://"+d.nodes[0].CallerAddress().String()+"/status/van-7")
	awaitStatus(c, "http://"+d.nodes[1].CallerAddress().String()+"/bookings")
	ran := 0
	for _, line := range d.suggestions() {
		if command, ok := strings.CutPrefix(line, "filbertmill "); ok {
			c.Check(runLine(c, command), qt.Equals, exitOK, qt.Commentf("%s", line))
			ran++
		}
	}
	c.Assert(ran, qt.Equals, 6)
	status, err := fleetStatus(ctx, d.nodes[2].AdminAddress().String())
	c.Assert(err, qt.IsNil)
	c.Assert(status.Members, qt.HasLen, demoNodes)
	c.Assert(status.Homes, qt.HasLen, 2)
	c.Assert(runLine(c, "config show --revision 2 --store "+d.platform.URL()), qt.Equals, exitOK)
}

// runLine runs a command line. A "> FILE" at its end redirects the output to a file.
func runLine(c *qt.C, line string) int {
	line, file, redirected := strings.Cut(line, " > ")
	if redirected {
		out, err := os.Create(file)
		c.Assert(err, qt.IsNil)
		defer out.Close()
		defer func(old *os.File) { os.Stdout = old }(os.Stdout)
		os.Stdout = out
	}
	return run(strings.Fields(line))
}

// awaitStatus waits until a GET request to the URL is answered with 200.
func awaitStatus(c *qt.C, url string) {
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			c.Fatalf("%s: no answer with 200: %v", url, err)
		}
	}
}
