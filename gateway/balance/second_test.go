package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
	"filbertmill.example/retry"
)

// tokens returns a Deposit of n tokens earned by requests.
func tokens(n int) retry.Deposit { return retry.Deposit{Earned: retry.Tokens(n) * retry.Token} }

// TestRetryBudgetIsSharedByAllNodes checks that all nodes together are granted as
// many second attempts as they have sent tokens for.
func TestRetryBudgetIsSharedByAllNodes(t *testing.T) {
	l := newLoop(20)
	for i := range uint64(10) {
		submit(l, epoch, Attempt{ID: ID{Node: i}, Deposit: tokens(1)})
	}
	granted := 0
	for i := range uint64(50) {
		if submit(l, epoch, Attempt{ID: ID{Node: i, Number: 1}, Kind: RetryAfterFailure}).Target != "" {
			granted++
		}
	}
	qt.Check(t, granted, qt.Equals, 10)
	for i := range uint64(50) {
		a := Attempt{ID: ID{Node: i, Number: 2}, Kind: RetryAfterRefusal}
		if i == 20 {
			a.Deposit = tokens(5)
		}
		if submit(l, epoch, a).Target != "" {
			granted++
		}
	}
	qt.Check(t, granted, qt.Equals, 15)
	qt.Check(t, submit(l, epoch, Attempt{ID: ID{Node: 1, Number: 3}, Kind: Redirect}).Target, qt.Not(qt.Equals), "")
}

// TestQueuedSecondAttemptNeedsATokenAtItsStart guards against second attempts
// that wait for a slot and reach their target in a later window than the one in
// which they were counted.
func TestQueuedSecondAttemptNeedsATokenAtItsStart(t *testing.T) {
	l := newLoop(1)
	for i := range uint64(4) {
		qt.Assert(t, submit(l, epoch, Attempt{ID: ID{Number: i}}).Target, qt.Equals, "t0")
	}
	s := l.service("s", epoch)
	replies := make(map[uint64]Grant)
	for i := range uint64(3) {
		a := Attempt{ID: ID{Number: 10 + i}, Service: "s", Route: "r", Kind: RetryAfterFailure, SentAt: l.clockAt(epoch), Deposit: tokens(1), TimeLeft: time.Minute, SoftTimeLeft: time.Minute}
		s.submit(epoch, a, func(g Grant) { replies[i] = g })
	}
	s.tick(epoch.Add(tokenWaitMax - time.Millisecond))
	qt.Assert(t, replies, qt.HasLen, 0)
	// One more token arrives for the three attempts.
	s.retries.Add(epoch.Add(tokenWaitMax), tokens(1), 0)
	s.tick(epoch.Add(tokenWaitMax))
	qt.Assert(t, replies, qt.HasLen, 2)
	qt.Check(t, replies[1].Reason, qt.Equals, outcome.ReasonNoTarget)
	s.finish(epoch.Add(tokenWaitMax), Report{ID: ID{Number: 0}, Service: "s"})
	qt.Check(t, replies[0].Target, qt.Equals, "t0")
}

// TestNoHedgeWhileAttemptsAreQueued checks that a hedged attempt is refused while
// another attempt is queued, and costs no token.
func TestNoHedgeWhileAttemptsAreQueued(t *testing.T) {
	l := newLoop(1)
	for i := range uint64(5) {
		submit(l, epoch, Attempt{ID: ID{Number: i}, Deposit: tokens(1)})
	}
	qt.Check(t, l.service("s", epoch).sched.Queued(), qt.Equals, 1)
	qt.Check(t, submit(l, epoch, Attempt{ID: ID{Number: 9}, Kind: HedgedAttempt}).Reason, qt.Equals, outcome.ReasonNoTarget)
	qt.Check(t, l.service("s", epoch).retries.Left(epoch), qt.Equals, 5)
}

// TestTokensAreDroppedAfterASuspension guards against tokens that are used after
// their expiry because the monotonic clock stands still during a suspension.
func TestTokensAreDroppedAfterASuspension(t *testing.T) {
	l := newLoop(2)
	submit(l, epoch, Attempt{ID: ID{Number: 1}, Deposit: tokens(5)})
	l.suspended -= time.Second
	qt.Check(t, submit(l, epoch, Attempt{ID: ID{Number: 2}, Kind: RetryAfterFailure}).Target, qt.Equals, "")
	qt.Check(t, submit(l, epoch, Attempt{ID: ID{Number: 3}, Kind: RetryAfterFailure, Deposit: tokens(1)}).Target, qt.Not(qt.Equals), "")
}

// TestTokensAgeInTransit guards against tokens that are used after their expiry
// because an overloaded home or a slow link delayed their message.
func TestTokensAgeInTransit(t *testing.T) {
	const unknownTime = -time.Hour
	life := testBound.Life()
	for _, test := range []struct {
		desc   string
		sent   time.Duration
		wait   time.Duration
		expect bool
	}{
		{"without a delay", time.Minute, 0, true},
		{"late", time.Minute, life / 2, true},
		{"late and used late", time.Minute - life/2, life / 2, false},
		{"too late", time.Minute - life, 0, false},
		{"from another run of the home", 2 * time.Minute, 0, false},
		{"at an unknown time", unknownTime, 0, false},
	} {
		l := newLoop(2)
		arrived := l.started.Add(time.Minute)
		sentAt := l.clockAt(l.started) + test.sent
		if test.sent == unknownTime {
			sentAt = 0
		}
		s := l.service("s", arrived)
		a := Attempt{ID: ID{Number: 1}, Service: "s", Route: "r", SentAt: sentAt, Deposit: tokens(1), TimeLeft: time.Minute, SoftTimeLeft: time.Minute}
		s.submit(arrived, a, func(Grant) {})
		qt.Check(t, s.retries.Left(arrived.Add(test.wait)) == 1, qt.Equals, test.expect, qt.Commentf(test.desc))
	}
}

// TestTokensFromBeforeTheStartOfTheHome guards against tokens that a home drops
// because the request for which they were issued began before the home's process:
// the first attempt that a new home receives, and the time that its answer takes.
func TestTokensFromBeforeTheStartOfTheHome(t *testing.T) {
	life := testBound.Life()
	for _, test := range []struct {
		desc   string
		issued time.Duration
		expect int
	}{
		{"as the home started", 0, 1},
		{"just before", 10 * time.Microsecond, 1},
		{"half a lifetime before", life / 2, 1},
		{"a lifetime before", life, 0},
	} {
		l := newLoop(2)
		l.started = epoch
		sentAt := l.clockAt(epoch) - test.issued
		s := l.service("s", epoch)
		s.takeDeposit(epoch, tokens(1), sentAt)
		qt.Check(t, s.retries.Left(epoch), qt.Equals, test.expect, qt.Commentf(test.desc))
	}
}
