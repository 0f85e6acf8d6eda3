package integration

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
	"filbertmill.example/testbed/answer"
	"filbertmill.example/testbed/target"
)

// TestLostThenRefusedIsNotCalledNotRun guards against a request that is answered as
// not run because its second target refused it, although the first one, which crashed,
// may have run it.
func TestLostThenRefusedIsNotCalledNotRun(t *testing.T) {
	c := qt.New(t)
	targets, ini := startTargets(c, "statusdesk", target.Config{CrashFor: time.Millisecond}, target.Config{})
	targets[1].Set(target.Behavior{Refuse: true})
	f := startFleet(c, 1, pathConfig+ini)
	ran := 0
	for i := range 8 {
		id := fmt.Sprint("r", i)
		r := callerRequest{
			method: "GET", url: f.url(0, "/status/"+id), id: id,
			header: map[string]string{answer.HeaderPoison: "1"},
		}.send()
		c.Assert(r.failure, qt.IsNil)
		if len(targets[0].Ledger().Runs(id)) > 0 {
			ran++
			c.Check(r.kind, qt.Equals, outcome.Unknown, qt.Commentf("%s: %s", id, r.reason))
		}
	}
	c.Assert(ran > 0, qt.IsTrue, qt.Commentf("no request ran; the test shows nothing"))
}
