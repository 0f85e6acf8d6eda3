package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/burn"
	"filbertmill.example/event"
	"filbertmill.example/testbed/load"
	"filbertmill.example/testbed/target"
)

// command runs the program and returns its standard output and exit code.
func command(c *qt.C, args ...string) (string, int) {
	cmd := exec.Command(binary, args...)
	out, err := cmd.Output()
	if _, exited := err.(*exec.ExitError); !exited {
		c.Assert(err, qt.IsNil)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// unreachable returns an address on which nothing listens.
func unreachable(c *qt.C) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	return ln.Addr().String()
}

// TestExplainFromAnyNode guards against explanations that depend on the node that is
// queried, or that do not name the nodes that did not answer. It also checks the exit
// codes of the command.
func TestExplainFromAnyNode(t *testing.T) {
	c := qt.New(t)
	ini := "[defaults]\ntimeout = 1s\n" + pathConfig
	for i := range 2 {
		ini += fmt.Sprintf("[target t%d]\nservice = statusdesk\naddress = %s\navailability_zone = kandy\n\n", i, unreachable(c))
	}
	f := startFleet(c, 3, ini)
	req, err := http.NewRequest("GET", f.url(0, "/status/van"), nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set("X-Request-Id", "req-1")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()

	var first event.Explanation
	for i, node := range f.nodes {
		out, code := command(c, "explain", "--request", "req-1", "--json", "--admin", node.Spec.Admin)
		c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
		var got event.Explanation
		c.Assert(json.Unmarshal([]byte(out), &got), qt.IsNil)
		c.Assert(got.Nodes, qt.HasLen, 3)
		c.Assert(len(got.Events) > 0, qt.IsTrue)
		c.Check(got.Events[0].Kind, qt.Equals, event.KindRetry)
		if i == 0 {
			first = got
		}
		c.Check(got.Events, qt.DeepEquals, first.Events)
	}

	f.nodes[1].Kill()
	out, code := command(c, "explain", "--request", "req-1", "--admin", f.nodes[0].Spec.Admin)
	c.Check(code, qt.Equals, 3)
	c.Check(out, qt.Contains, "No answer from node "+f.nodes[1].Spec.Name)
	if first.Events[0].Node != f.nodes[1].Spec.Name {
		c.Check(out, qt.Contains, first.Events[0].Sentence())
	}
	_, code = command(c, "explain", "--request", "req-1", "--admin", f.nodes[1].Spec.Admin)
	c.Check(code, qt.Equals, 1)
	_, code = command(c, "explain", "--admin", f.nodes[0].Spec.Admin)
	c.Check(code, qt.Equals, 2)
}

// burnTolerance is the largest difference between the report and what the callers
// counted, as a fraction of all requests.
const burnTolerance = 0.01

// TestBurnAgreesWithLoad guards against a burn report, merged from all nodes, that
// differs from the answers that callers received.
func TestBurnAgreesWithLoad(t *testing.T) {
	c := qt.New(t)
	targets, ini := startTargets(c, "statusdesk", target.Config{Slots: 2}, target.Config{Slots: 2}, target.Config{Slots: 2})
	targets[0].Set(target.Behavior{FailShare: 0.3})
	ini += "[exception short-queue]\nscope = service statusdesk\nkey = queue_limit\nvalue = 4\n" +
		"reason = makes the load overflow\nauthor = test\n\n"
	f := startFleet(c, 3, pathConfig+ini)
	var entries []string
	for _, node := range f.nodes {
		entries = append(entries, node.Spec.Callers)
	}
	class := load.Class{Name: "book", Method: http.MethodPost, Path: "/status/book", Work: 20 * time.Millisecond, Exponential: true, BodyBytes: 20}
	phases := []load.Phase{{Duration: 2 * time.Second, Rate: 100}, {Duration: time.Second, Rate: 600}, {Duration: time.Second, Rate: 50}}
	arrivals := load.Arrivals("burn", 1, load.Stream{Class: class, Phases: phases})
	samples := load.Run(context.Background(), load.Fixed(1, entries...), arrivals)
	good := load.Select(samples, load.Sample.Good)

	out, code := command(c, "report", "burn", "--json", "--admin", f.nodes[2].Spec.Admin)
	c.Assert(code, qt.Equals, 0)
	var got burn.Report
	c.Assert(json.Unmarshal([]byte(out), &got), qt.IsNil)
	c.Assert(got.Nodes, qt.HasLen, 3)
	c.Assert(got.Services, qt.HasLen, 1)
	s := got.Services[0]
	c.Logf("load: %d requests, %d good; report: %d requests, %+v", len(samples), len(good), s.Total, s.Counts)
	margin := burnTolerance * float64(len(samples))
	c.Check(math.Abs(float64(s.Total)-float64(len(samples))) <= margin, qt.IsTrue)
	c.Check(math.Abs(float64(s.Counts.Good)-float64(len(good))) <= margin, qt.IsTrue)
	c.Check(s.Counts.Target > 0, qt.IsTrue, qt.Commentf("the failing target shows"))
	c.Check(s.Counts.Overload > 0, qt.IsTrue, qt.Commentf("the overflow shows"))
	c.Check(s.BudgetLeft < 0, qt.IsTrue)
}

// TestBurnOutlivesARestart guards against counts that are lost when a node shuts down
// gracefully: it hands them over to another node.
func TestBurnOutlivesARestart(t *testing.T) {
	c := qt.New(t)
	_, ini := startTargets(c, "statusdesk", target.Config{Work: time.Millisecond})
	f := startFleet(c, 3, pathConfig+ini)
	const each = 10
	for i := range f.nodes {
		for range each {
			resp, err := http.Get(f.url(i, "/status/van"))
			c.Assert(err, qt.IsNil)
			resp.Body.Close()
		}
	}
	c.Assert(f.nodes[0].Terminate(), qt.IsNil)
	c.Assert(f.nodes[0].Wait(), qt.IsNil)
	out, _ := command(c, "report", "burn", "--json", "--admin", f.nodes[1].Spec.Admin)
	var got burn.Report
	c.Assert(json.Unmarshal([]byte(out), &got), qt.IsNil)
	c.Check(got.Services[0].Counts, qt.Equals, burn.Counts{Good: each * uint64(len(f.nodes))})
}

// TestCheckCommand guards against an exit code of the check command by which a script
// takes a file with problems for a valid one, or the reverse.
func TestCheckCommand(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "fleet.ini")
	c.Assert(os.WriteFile(file, []byte("[service a]\nslots = many\n"), 0o600), qt.IsNil)
	out, code := command(c, "check", file)
	c.Check(out, qt.Equals, file+":2: [service a] slots: \"many\" is not a whole number\n")
	c.Check(code, qt.Equals, 1)
	c.Assert(os.WriteFile(file, []byte("[service a]\n"), 0o600), qt.IsNil)
	_, code = command(c, "check", file)
	c.Check(code, qt.Equals, 0)
}
