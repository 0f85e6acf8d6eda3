package integration

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
	"filbertmill.example/testbed/answer"
	"filbertmill.example/testbed/target"
)

// crashCount returns the total number of crashes of the targets.
func crashCount(targets []*target.Target) int {
	n := 0
	for _, t := range targets {
		n += t.Crashes()
	}
	return n
}

// crashedTargets returns how many targets crashed at least once.
func crashedTargets(targets []*target.Target) int {
	n := 0
	for _, t := range targets {
		if t.Crashes() > 0 {
			n++
		}
	}
	return n
}

// TestPoisonRequestCostsTwoTargets guards against a request that crashes each target
// that runs it and is sent repeatedly, through all nodes, until no target is left. It
// is refused after two crashes, and other requests are still served. It also checks
// the commands poison list and poison release.
func TestPoisonRequestCostsTwoTargets(t *testing.T) {
	c := qt.New(t)
	crashing := target.Config{CrashFor: 300 * time.Millisecond}
	targets, ini := startTargets(c, "statusdesk", crashing, crashing, crashing, crashing)
	f := startFleet(c, 3, pathConfig+ini)
	poisoned := func(i int) reply {
		return callerRequest{
			method: "POST", url: f.url(i%3, "/status/van?id=7"), id: fmt.Sprint("bad", i), body: "rug 12",
			header: map[string]string{answer.HeaderPoison: "1"},
		}.send()
	}
	ordinary := func(i int) reply {
		return callerRequest{method: "POST", url: f.url(i%3, "/status/van?id=7"), id: fmt.Sprint("good", i), body: fmt.Sprint("rug ", i)}.send()
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
	list, code := command(c, "poison", "list", "--admin", f.nodes[2].Spec.Admin)
	c.Assert(code, qt.Equals, 0)
	c.Logf("%s", list)
	c.Assert(strings.Count(list, "statusdesk"), qt.Equals, 3, qt.Commentf("service and two targets: %s", list))
	fingerprint := strings.Fields(strings.Split(list, "\n")[1])[0]

	out, code := command(c, "poison", "release", "--admin", f.nodes[0].Spec.Admin, fingerprint)
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	list, _ = command(c, "poison", "list", "--admin", f.nodes[1].Spec.Admin)
	c.Assert(list, qt.Contains, "no request is in quarantine")
	c.Assert(poisoned(12).kind, qt.Equals, outcome.Unknown)
	c.Assert(crashCount(targets), qt.Equals, 3)
	_, code = command(c, "poison", "release", "--admin", f.nodes[0].Spec.Admin, fingerprint)
	c.Assert(code, qt.Equals, 1)
}

// TestRequestThatCrashesTargetsInMidAnswerIsQuarantined guards against a request that
// crashes targets after the first bytes of their answers, while these are buffered or passed
// on, and is never refused.
func TestRequestThatCrashesTargetsInMidAnswerIsQuarantined(t *testing.T) {
	for name, size := range map[string]int{"buffered": 1 << 10, "passed on": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			crashing := target.Config{CrashFor: 300 * time.Millisecond}
			targets, ini := startTargets(c, "statusdesk", crashing, crashing, crashing, crashing)
			f := startFleet(c, 1, pathConfig+ini)
			for i := range 8 {
				r := callerRequest{
					method: "POST", url: f.url(0, "/status/van?id=7"), id: fmt.Sprint("bad", i), body: "rug 12",
					header: map[string]string{
						answer.HeaderPoison: answer.PoisonInAnswer, answer.HeaderBytes: strconv.Itoa(size),
					},
				}.send()
				if i >= 2 {
					c.Check(r.reason, qt.Equals, string(outcome.ReasonPoison), qt.Commentf("sending %d: %v", i, r.failure))
				}
			}
			c.Check(crashCount(targets), qt.Equals, 2)
		})
	}
}

// TestQuarantineOutlivesTheHome guards against a quarantine that is lost with its home,
// so that the request crashes further targets through the next home.
func TestQuarantineOutlivesTheHome(t *testing.T) {
	c := qt.New(t)
	f := startBookings(c, 3)
	sendings := 0
	poisoned := func(i int) reply {
		sendings++
		s := f.booking(i, fmt.Sprint("bad", sendings), answer.HeaderPoison, "1")
		s.body = "the rug that crashes"
		return s.send()
	}
	sent := 0
	for poisoned(sent%3).reason != string(outcome.ReasonPoison) {
		sent++
		c.Assert(sent < 20, qt.IsTrue)
	}
	c.Assert(crashedTargets(f.targets), qt.Equals, 2)
	crashes := crashCount(f.targets)

	home := f.holder(c)
	f.nodes[home].Kill()
	for i := range 4 {
		r := poisoned((home + 1) % 3)
		c.Assert(r.kind, qt.Equals, outcome.NotRun, qt.Commentf("%d: %s", i, r.reason))
	}
	c.Assert(crashCount(f.targets), qt.Equals, crashes)
	ordinary := f.book((home+1)%3, "van-1")
	c.Assert(ordinary.kind, qt.Equals, outcome.Run, qt.Commentf("%s", ordinary.body))
}
