package integration

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
	"filbertmill.example/testbed/target"
)

const pathConfig = `
[service statusdesk]

[route status]
prefix = /status
service = statusdesk
`

// TestEveryNodeReachesTheTargets guards against requests that fail on one of the two
// paths: through the service's home, or through another node that forwards to it.
func TestEveryNodeReachesTheTargets(t *testing.T) {
	c := qt.New(t)
	_, ini := startTargets(c, "statusdesk", target.Config{Work: 5 * time.Millisecond}, target.Config{Work: 5 * time.Millisecond})
	f := startFleet(c, 2, pathConfig+ini)
	for i := range f.nodes {
		req, err := http.NewRequest("POST", f.url(i, "/status/van"), strings.NewReader("rug 12"))
		c.Assert(err, qt.IsNil)
		req.Header.Set("X-Request-Id", "req-"+f.nodes[i].Spec.Name)
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, 200)
		c.Check(resp.Header.Get(outcome.Header), qt.Equals, string(outcome.Run))
		c.Check(resp.Header.Get("X-Request-Id"), qt.Equals, "req-"+f.nodes[i].Spec.Name)
		c.Check(string(body), qt.Contains, "bytes=6")
	}
}

// TestNoRoute guards against an answer of filbertmill itself that a caller cannot
// distinguish from a target's answer.
func TestNoRoute(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 1, pathConfig)
	resp, err := http.Get(f.url(0, "/elsewhere"))
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, 404)
	c.Check(resp.Header.Get("Content-Type"), qt.Equals, outcome.ProblemMediaType)
	c.Check(resp.Header.Get(outcome.Header), qt.Equals, string(outcome.NotRun))
	c.Check(resp.Header.Get("Proxy-Status"), qt.Contains, "destination_not_found")
}
