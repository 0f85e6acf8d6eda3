package balance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/gateway/replica"
	"filbertmill.example/outcome"
	"filbertmill.example/platform"
	"filbertmill.example/pool"
)

var epoch = time.Unix(1_700_000_000, 0)

// newLoop returns a Loop that is not running, with one service of n targets. Tests
// call the methods of the service directly.
func newLoop(n int) *Loop {
	l := New(Config{FloorShare: 0.7, TokenLife: testBound.Life(), Log: hclog.NewNullLogger()})
	view := &replica.View{Targets: map[string][]platform.Target{}}
	for i := range n {
		view.Targets["s"] = append(view.Targets["s"], platform.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Slots: 4})
	}
	l.view = view
	l.started = epoch.Add(-time.Second)
	return l
}

// submit submits an attempt and returns the answer.
func submit(l *Loop, now time.Time, a Attempt) Grant {
	var got Grant
	a.Service, a.Route, a.SentAt = "s", "r", l.clockAt(now)
	a.TimeLeft, a.SoftTimeLeft = time.Second, time.Second
	l.service("s", now).submit(now, a, func(g Grant) { got = g })
	return got
}

// TestPoisonRequestIsQuarantined has a request crash each target that runs it. From
// its second reset on, the node checks for a crash.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	l := newLoop(6)
	now := epoch
	crashes := 0
	for i := range uint64(10) {
		now = now.Add(time.Second)
		id := ID{Number: i}
		g := submit(l, now, Attempt{ID: id, Fingerprint: 7})
		if g.Target == "" {
			qt.Check(t, g.Reason, qt.Equals, outcome.ReasonPoison)
			qt.Check(t, g.RetryAfter > 0, qt.IsTrue)
			continue
		}
		crashes++
		qt.Check(t, g.SuspectedPoison, qt.Equals, i > 0)
		l.service("s", now).finish(now, Report{ID: id, Service: "s", Verdict: pool.VerdictReset, Crashed: g.SuspectedPoison})
	}
	qt.Check(t, crashes, qt.Equals, 3, qt.Commentf("no more than three targets are lost to it"))
	qt.Check(t, submit(l, now, Attempt{ID: ID{Number: 99}, Fingerprint: 8}).Target, qt.Not(qt.Equals), "")
}

// TestRequestThatCrashesTargetsInMidAnswerIsQuarantined guards against a request that
// crashes targets without end, because they crash after their answers have begun.
func TestRequestThatCrashesTargetsInMidAnswerIsQuarantined(t *testing.T) {
	l := newLoop(6)
	now := epoch
	crashes := 0
	for i := range uint64(10) {
		now = now.Add(time.Second)
		id := ID{Number: i}
		g := submit(l, now, Attempt{ID: id, Fingerprint: 7})
		if g.Target == "" {
			continue
		}
		crashes++
		l.service("s", now).finish(now, Report{ID: id, Service: "s", Verdict: pool.VerdictTruncated, Lost: true, Crashed: g.SuspectedPoison})
	}
	qt.Check(t, crashes, qt.Equals, 3)
}

// TestSlotsOfASilentNodeAreReleased has a node that never reports the results of its
// attempts.
func TestSlotsOfASilentNodeAreReleased(t *testing.T) {
	l := newLoop(1)
	for i := range uint64(4) {
		qt.Assert(t, submit(l, epoch, Attempt{ID: ID{Number: i}}).Target, qt.Equals, "t0")
	}
	s := l.service("s", epoch)
	qt.Check(t, s.sched.Snapshot(epoch).Targets[0].InFlight, qt.Equals, 4)
	s.sweep(epoch.Add(time.Second + reportGrace + time.Millisecond))
	qt.Check(t, s.sched.Snapshot(epoch).Targets[0].InFlight, qt.Equals, 0)
}
