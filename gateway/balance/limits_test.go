package balance

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/gateway/limits"
	"filbertmill.example/retry"
)

// limitedLoop returns a Loop of n targets, each of which limits its rate, and the
// message of a host with permits for all of them.
func limitedLoop(n int) (*Loop, Contribution) {
	l := newLoop(n)
	s := l.service("s", epoch)
	m := Contribution{Service: "s", SentAt: l.clockAt(epoch)}
	var list []limits.Entry
	for i := range n {
		name := fmt.Sprintf("t%d", i)
		list = append(list, limits.Entry{Target: name, Statement: limits.Statement{Limited: true, Rate: 2}})
		m.Permits = append(m.Permits, Permits{Target: name, Rate: 2, Deposit: retry.Deposit{Accrued: 431, Period: rateForward}})
	}
	known := limits.NewTable()
	known.Merge(epoch, list, 0)
	s.mergeLimits(epoch, KnownLimits{Digest: known.Digest(), List: list}, "a node", 0)
	m.LimitsDigest = known.Digest()
	return l, m
}

// TestHomeThatKnowsOthersLimitsDecidesNothing guards against a grant by a home that has
// not heard of a limit that the asking node knows.
func TestHomeThatKnowsOthersLimitsDecidesNothing(t *testing.T) {
	c := qt.New(t)
	l := newLoop(1)
	node := limits.NewTable()
	node.Hear(epoch, "t0", epoch, limits.Statement{Limited: true, Rate: 1})
	a := Attempt{ID: ID{Number: 1}, Limits: KnownLimits{Digest: node.Digest()}}
	c.Check(submit(l, epoch, a).NeedsLists, qt.IsTrue)
	c.Check(l.service("s", epoch).openAttempts, qt.HasLen, 0)
	a.Limits.List = node.List(epoch)
	c.Check(submit(l, epoch, a).Target, qt.Equals, "", qt.Commentf("there is no permit yet"))
	// A node that knows of no limit is told.
	c.Check(submit(l, epoch, Attempt{ID: ID{Number: 2}}).Limits, qt.HasLen, 1)
}

// TestAnswerToAQueuedAttemptTellsWhatIsKnownThen guards against limits that a node takes
// for newer than they are, since the home listed them when the attempt began to wait.
func TestAnswerToAQueuedAttemptTellsWhatIsKnownThen(t *testing.T) {
	c := qt.New(t)
	l := newLoop(1)
	s := l.service("s", epoch)
	known := limits.NewTable()
	known.Hear(epoch, "t0", epoch, limits.Statement{Limited: true, Rate: 1})
	var got Grant
	a := Attempt{
		ID: ID{Number: 1}, Service: "s", Route: "r", SentAt: l.clockAt(epoch), TimeLeft: time.Minute, SoftTimeLeft: time.Minute,
		Limits: KnownLimits{Digest: known.Digest(), List: known.List(epoch)},
	}
	s.submit(epoch, a, func(g Grant) { got = g })
	c.Assert(got.Target, qt.Equals, "")
	later := epoch.Add(3 * time.Second)
	s.applyLimits(later, s.limits.Merge(later, []limits.Entry{{Target: "t0", Statement: limits.Statement{Limited: true, Rate: 4}}}, 0), "a test")
	later = later.Add(time.Second)
	s.addPermits(later, []Permits{{Target: "t0", Rate: 4, Deposit: tokens(1)}}, l.clockAt(later))
	c.Assert(got.Target, qt.Equals, "t0")
	c.Assert(got.Limits, qt.HasLen, 1)
	c.Check(got.Limits[0].Rate, qt.Equals, retry.Rate(4))
	c.Check(got.Limits[0].Age, qt.Equals, time.Second)
}

// TestLeavingByStatementOutlivesAChangeInTheStore guards against a target that is used
// again because a later list of targets says that it is ready.
func TestLeavingByStatementOutlivesAChangeInTheStore(t *testing.T) {
	c := qt.New(t)
	l := newLoop(1)
	s := l.service("s", epoch)
	c.Assert(submit(l, epoch, Attempt{ID: ID{Number: 1}}).Target, qt.Equals, "t0")
	s.finish(epoch, Report{ID: ID{Number: 1}, Service: "s", Stated: &limits.Statement{Leaving: true}})
	c.Check(submit(l, epoch, Attempt{ID: ID{Number: 2}}).Target, qt.Equals, "")
	s.configure(epoch.Add(time.Second))
	c.Check(submit(l, epoch.Add(time.Second), Attempt{ID: ID{Number: 3}}).Target, qt.Equals, "")
}

// TestPausedTargetIsNotGrantedToTheHostThatIsToPause guards against a pause that one host
// was asked for and that keeps other hosts away, or none.
func TestPausedTargetIsNotGrantedToTheHostThatIsToPause(t *testing.T) {
	l := newLoop(2)
	for i := range uint64(6) {
		got := submit(l, epoch, Attempt{ID: ID{Number: i}, Paused: []TargetHash{HashTarget("t1")}}).Target
		qt.Check(t, got == "t1", qt.IsFalse)
	}
	qt.Check(t, submit(l, epoch, Attempt{ID: ID{Number: 9}, Paused: []TargetHash{HashTarget("t0")}}).Target, qt.Equals, "t1")
}

// BenchmarkPermits measures what a home spends on the permits of one host.
func BenchmarkPermits(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("%d targets", n), func(b *testing.B) {
			l, m := limitedLoop(n)
			s := l.service("s", epoch)
			for b.Loop() {
				s.addPermits(epoch, m.Permits, m.SentAt)
				s.listLimits(epoch, m.LimitsDigest)
			}
		})
	}
}
