package integration

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
	"filbertmill.example/testbed/process"
)

// TestNoConfigurationYet guards against a node that answers "no route" while it has no
// configuration yet, which callers would take as final. It must answer 503 with a
// Retry-After, and the outcome of a keyed request must be unknown, since an earlier
// attempt may have run.
func TestNoConfigurationYet(t *testing.T) {
	c := qt.New(t)
	specs, err := process.NewSpecs(1, zones)
	c.Assert(err, qt.IsNil)
	store := unreachable(c)
	extra := "[platform]\nstore = http://" + store + "\nhost_list = http://" + store + "\n"
	node, err := process.Start(binary, c.TempDir(), specs[0], specs[0].Settings(nil, extra))
	c.Assert(err, qt.IsNil)
	c.Cleanup(node.Kill)
	var resp *http.Response
	for resp == nil {
		if resp, err = http.Get("http://" + specs[0].Callers + "/status/x"); err != nil {
			time.Sleep(10 * time.Millisecond)
		}
	}
	resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, 503)
	c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Check(resp.Header.Get(outcome.Header), qt.Equals, string(outcome.NotRun))
	c.Check(resp.Header.Get("Proxy-Status"), qt.Contains, "no_configuration")

	req, err := http.NewRequest("POST", "http://"+specs[0].Callers+"/status/x", nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Idempotency-Key", "van-1")
	resp, err = http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Check(resp.Header.Get(outcome.Header), qt.Equals, string(outcome.Unknown), qt.Commentf("an earlier sending may have run"))

	ready, err := http.Get("http://" + specs[0].Admin + "/readyz")
	c.Assert(err, qt.IsNil)
	ready.Body.Close()
	c.Check(ready.StatusCode, qt.Equals, 503)
}
