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

// crashCount returns how often the targets crashed in all.
func crashCount(targets []*target.Target) int {
	n := 0
	for _, t := range targets {
		n += t.Crashes()
	}
	return n
}

// A request that crashes each target that runs it comes again and again,
// through all nodes. It costs two targets; other requests go on.
func TestPoisonRequestCostsTwoTargets(t *testing.T) {
	c := qt.New(t)
	crashing := target.Config{CrashFor: 300 * time.Millisecond}
	targets, ini := startTargets(c, "statusdesk", crashing, crashing, crashing, crashing)
	f := startFleet(c, 3, pathConfig+ini)
	poisoned := func(i int) reply {
		return sending{
			method: "POST", url: f.url(i%3, "/status/van?id=7"), id: fmt.Sprint("bad", i), body: "rug 12",
			header: map[string]string{answer.HeaderPoison: "1"},
		}.send()
	}
	ordinary := func(i int) reply {
		return sending{method: "POST", url: f.url(i%3, "/status/van?id=7"), id: fmt.Sprint("good", i), body: fmt.Sprint("rug ", i)}.send()
	}

	for i := range 12 {
		r := poisoned(i)
		c.Assert(r.failure, qt.IsNil)
		if i < 2 {
			c.Check(r.kind, qt.Equals, outcome.Unknown, qt.Commentf("%s", r.reason))
		} else {
			c.Check(r.kind, qt.Equals, outcome.NotRun)
			c.Check(r.reason, qt.Equals, string(outcome.ReasonPoison))
			c.Check(r.status, qt.Equals, 422)
		}
		o := ordinary(i)
		c.Assert(o.failure, qt.IsNil)
		c.Check(o.kind, qt.Equals, outcome.Run, qt.Commentf("ordinary request %d: %s", i, o.reason))
	}
	c.Assert(crashCount(targets), qt.Equals, 2)
}
