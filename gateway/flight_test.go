package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	qt "github.com/frankban/quicktest"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/outcome"
	"filbertmill.example/pool"
)

// scriptedAttempts plays given results for the attempts of one request, in order,
// and records their plans.
type scriptedAttempts struct {
	results []scriptedResult
	plans   []attemptPlan
}

// scriptedResult is the result of one attempt after a delay.
type scriptedResult struct {
	result attemptResult
	after  time.Duration
}

func (s *scriptedAttempts) run(ctx context.Context, _ *request, p attemptPlan, granted func(balance.Grant)) attemptResult {
	i := len(s.plans)
	s.plans = append(s.plans, p)
	e := scriptedResult{result: resetByTarget()}
	if i < len(s.results) {
		e = s.results[i]
	}
	if e.result.granted {
		e.result.targetName = fmt.Sprintf("t%d", i)
		granted(balance.Grant{Target: e.result.targetName, UsualLatency: 100 * time.Millisecond})
	}
	select {
	case <-time.After(e.after):
		return e.result
	case <-ctx.Done():
		if !e.result.granted {
			return attemptResult{result: refusedResult(unassignedReason(ctx), 0), notRun: true, failed: true}
		}
		return attemptResult{verdict: pool.VerdictCancelled, granted: true, sent: true, failed: true}
	}
}

func answered(status int) attemptResult {
	r := &protocol.Response{}
	r.SetStatusCode(status)
	return withGrant(answeredResult(r, nil))
}

func refusedByTarget() attemptResult {
	r := &protocol.Response{}
	r.SetStatusCode(503)
	r.Header.Set("X-Not-Executed", "1")
	return withGrant(answeredResult(r, nil))
}

func withGrant(e attemptResult) attemptResult {
	e.granted = true
	return e
}

// resetByTarget is the result of an attempt that may have run.
func resetByTarget() attemptResult {
	return attemptResult{
		result:  result{outcome: outcome.New(outcome.ReasonConnectionLost, "", 0)},
		verdict: pool.VerdictReset, granted: true, sent: true, failed: true,
	}
}

// neverSent is the result of an attempt of which no byte was sent.
func neverSent() attemptResult {
	return attemptResult{
		result:  result{outcome: outcome.New(outcome.ReasonUnreachable, "", 0)},
		verdict: pool.VerdictUnreachable, granted: true, notRun: true, failed: true,
	}
}

func noTarget() attemptResult {
	return attemptResult{result: refusedResult(outcome.ReasonTooLate, time.Second), notRun: true, failed: true}
}

// runFlight runs a request with a timeout of 1 s and two attempts.
func runFlight(t *testing.T, idempotent bool, results ...scriptedResult) (result, *scriptedAttempts) {
	t.Helper()
	s := &scriptedAttempts{results: results}
	var res result
	synctest.Test(t, func(t *testing.T) {
		r := &request{
			route:      &dynamic.Route{Attempts: 2, LatencyObjective: 600 * time.Millisecond},
			idempotent: idempotent, deadline: time.Now().Add(time.Second),
		}
		ctx, cancel := context.WithDeadline(t.Context(), r.deadline)
		defer cancel()
		ctx, cancelAll := context.WithCancel(ctx)
		defer cancelAll()
		res = newFlight(ctx, r, s.run, nil).run()
	})
	return res, s
}

func TestAttemptsThatAreRetried(t *testing.T) {
	cases := map[string]struct {
		idempotent bool
		results    []scriptedResult
		reason     outcome.Reason
		status     int
		kinds      []balance.AttemptKind
	}{
		"answered":                      {false, []scriptedResult{{result: answered(200)}}, outcome.ReasonAnswered, 200, nil},
		"a booking that may have run":   {false, []scriptedResult{{result: resetByTarget()}}, outcome.ReasonConnectionLost, 502, nil},
		"a booking that failed":         {false, []scriptedResult{{result: answered(500)}}, outcome.ReasonAnswered, 500, nil},
		"a booking that was refused":    {false, []scriptedResult{{result: refusedByTarget()}, {result: answered(200)}}, outcome.ReasonAnswered, 200, []balance.AttemptKind{balance.RetryAfterRefusal}},
		"a booking that never left":     {false, []scriptedResult{{result: neverSent()}, {result: neverSent()}, {result: answered(200)}}, outcome.ReasonAnswered, 200, []balance.AttemptKind{balance.Redirect, balance.Redirect}},
		"a lookup that failed":          {true, []scriptedResult{{result: answered(500)}, {result: answered(200)}}, outcome.ReasonAnswered, 200, []balance.AttemptKind{balance.RetryAfterFailure}},
		"a lookup lost twice":           {true, []scriptedResult{{result: resetByTarget()}, {result: resetByTarget()}}, outcome.ReasonConnectionLost, 502, []balance.AttemptKind{balance.RetryAfterFailure}},
		"a target's failure goes first": {true, []scriptedResult{{result: answered(500)}, {result: resetByTarget()}}, outcome.ReasonAnswered, 500, []balance.AttemptKind{balance.RetryAfterFailure}},
		"refused by the home":           {false, []scriptedResult{{result: noTarget()}}, outcome.ReasonTooLate, 503, nil},
		"lost, then no target left":     {true, []scriptedResult{{result: resetByTarget()}, {result: noTarget()}}, outcome.ReasonConnectionLost, 502, []balance.AttemptKind{balance.RetryAfterFailure}},
		"refused by all that it may go to": {
			false,
			[]scriptedResult{{result: refusedByTarget()}, {result: refusedByTarget()}, {result: refusedByTarget()}, {result: refusedByTarget()}, {result: refusedByTarget()}},
			outcome.ReasonTargetRefused, 503,
			[]balance.AttemptKind{balance.RetryAfterRefusal, balance.RetryAfterRefusal, balance.RetryAfterRefusal, balance.RetryAfterRefusal},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			res, s := runFlight(t, tc.idempotent, tc.results...)
			qt.Check(t, res.outcome.Reason, qt.Equals, tc.reason)
			status := res.outcome.Status()
			if res.response != nil {
				status = res.response.StatusCode()
			}
			qt.Check(t, status, qt.Equals, tc.status)
			var kinds []balance.AttemptKind
			for _, p := range s.plans[1:] {
				kinds = append(kinds, p.kind)
			}
			qt.Check(t, kinds, qt.DeepEquals, tc.kinds)
		})
	}
}

// TestNoMoreTargetsThanAllowed checks that only refusing targets are tried again
// once two targets had the request, and that the last attempt is marked as the last.
func TestNoMoreTargetsThanAllowed(t *testing.T) {
	_, s := runFlight(t, false, scriptedResult{result: refusedByTarget()}, scriptedResult{result: refusedByTarget()}, scriptedResult{result: answered(200)})
	qt.Assert(t, s.plans, qt.HasLen, 3)
	qt.Check(t, s.plans[0].last, qt.IsFalse)
	qt.Check(t, s.plans[1].last, qt.IsTrue)
	qt.Check(t, s.plans[1].exclude, qt.DeepEquals, hashTargets([]string{"t0"}))
	qt.Check(t, s.plans[2].only, qt.DeepEquals, hashTargets([]string{"t0", "t1"}))
}

// TestRetryAfterIsTheLongestOfAllRefusals has a target refuse the request while the
// home knows no other target. The Retry-After must be as long as the home expects.
func TestRetryAfterIsTheLongestOfAllRefusals(t *testing.T) {
	res, _ := runFlight(t, false, scriptedResult{result: refusedByTarget()}, scriptedResult{result: noTarget()})
	qt.Check(t, res.outcome.Reason, qt.Equals, outcome.ReasonTargetRefused)
	qt.Check(t, res.outcome.RetryAfter, qt.Equals, time.Second)
}

// TestOverdueLookupIsHedged has the first target hang: an idempotent request is
// hedged, another one is not.
func TestOverdueLookupIsHedged(t *testing.T) {
	res, s := runFlight(t, true, scriptedResult{result: answered(200), after: time.Hour}, scriptedResult{result: answered(200), after: 50 * time.Millisecond})
	qt.Check(t, res.outcome.Reason, qt.Equals, outcome.ReasonAnswered)
	qt.Assert(t, s.plans, qt.HasLen, 2)
	qt.Check(t, s.plans[1].kind, qt.Equals, balance.HedgedAttempt)

	res, s = runFlight(t, false, scriptedResult{result: answered(200), after: time.Hour})
	qt.Check(t, res.outcome.Reason, qt.Equals, outcome.ReasonTimeout, qt.Commentf("a booking is not hedged"))
	qt.Check(t, res.outcome.Kind, qt.Equals, outcome.Unknown)
	qt.Check(t, s.plans, qt.HasLen, 1)
}

// TestRefusedHedgeIsTriedAgain has the first target hang while other requests wait
// for targets, so that the home refuses to hedge. The lookup must be hedged once no
// request waits any more, and a refusal must not use up one of its attempts.
func TestRefusedHedgeIsTriedAgain(t *testing.T) {
	hung := scriptedResult{result: answered(200), after: time.Hour}
	res, s := runFlight(t, true, hung, scriptedResult{result: noTarget()}, scriptedResult{result: noTarget()}, scriptedResult{result: answered(200), after: 50 * time.Millisecond})
	qt.Check(t, res.outcome.Reason, qt.Equals, outcome.ReasonAnswered)
	qt.Assert(t, s.plans, qt.HasLen, 4)
	for _, p := range s.plans[1:] {
		qt.Check(t, p.kind, qt.Equals, balance.HedgedAttempt)
	}

	failing := scriptedResult{result: answered(500), after: 350 * time.Millisecond}
	res, s = runFlight(t, true, failing, scriptedResult{result: noTarget()}, scriptedResult{result: answered(200)})
	qt.Check(t, res.outcome.Reason, qt.Equals, outcome.ReasonAnswered)
	qt.Check(t, res.response.StatusCode(), qt.Equals, 200)
	qt.Check(t, s.plans[len(s.plans)-1].kind, qt.Equals, balance.RetryAfterFailure)

	allRefused := make([]scriptedResult, 20)
	for i := range allRefused {
		allRefused[i] = scriptedResult{result: noTarget()}
	}
	res, s = runFlight(t, true, append([]scriptedResult{hung}, allRefused...)...)
	qt.Check(t, res.outcome.Reason, qt.Equals, outcome.ReasonTimeout)
	qt.Check(t, len(s.plans) < 10, qt.IsTrue, qt.Commentf("%d attempts", len(s.plans)))
}

// runFlightUntilAbort runs a request that the process aborts after a time.
func runFlightUntilAbort(t *testing.T, abortAfter time.Duration, results ...scriptedResult) result {
	t.Helper()
	s := &scriptedAttempts{results: results}
	var res result
	synctest.Test(t, func(t *testing.T) {
		r := &request{route: &dynamic.Route{Attempts: 2}, deadline: time.Now().Add(time.Minute)}
		abort := make(chan struct{})
		time.AfterFunc(abortAfter, func() { close(abort) })
		f := newFlight(t.Context(), r, s.run, abort)
		defer f.cancel(nil)
		res = f.run()
	})
	return res
}

// TestRequestsAbortedAtShutdown guards against answers that claim more than is
// known, or hide the answer of a target, when the process exits during a request.
func TestRequestsAbortedAtShutdown(t *testing.T) {
	cases := map[string]struct {
		results []scriptedResult
		reason  outcome.Reason
		kind    outcome.Kind
		status  int
	}{
		"a target is running it":   {[]scriptedResult{{result: answered(200), after: time.Hour}}, outcome.ReasonInterrupted, outcome.Unknown, 504},
		"no target had it":         {[]scriptedResult{{result: noTarget(), after: time.Hour}}, outcome.ReasonShutdown, outcome.NotRun, 503},
		"refused, then no target":  {[]scriptedResult{{result: refusedByTarget()}, {result: noTarget(), after: time.Hour}}, outcome.ReasonShutdown, outcome.NotRun, 503},
		"never sent, then running": {[]scriptedResult{{result: neverSent()}, {result: answered(200), after: time.Hour}}, outcome.ReasonInterrupted, outcome.Unknown, 504},
		"answered before":          {[]scriptedResult{{result: answered(200), after: time.Second / 2}}, outcome.ReasonAnswered, outcome.Run, 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				res := runFlightUntilAbort(t, time.Second, tc.results...)
				got := res.outcome.Status()
				if res.response != nil {
					got = res.response.StatusCode()
				}
				qt.Assert(t, res.outcome.Kind, qt.Equals, tc.kind)
				qt.Assert(t, got, qt.Equals, tc.status)
				qt.Assert(t, res.outcome.Reason, qt.Equals, tc.reason)
			}
		})
	}
}

// TestResultAvailableAtTheContextsEnd guards against an answer that is available
// when the deadline passes or the process exits, and is replaced by a failure.
func TestResultAvailableAtTheContextsEnd(t *testing.T) {
	cases := map[string]struct {
		end    attemptResult
		kind   outcome.Kind
		status int
	}{
		"answered": {answered(200), outcome.Run, 200},
		"failed":   {answered(500), outcome.Run, 500},
		"refused":  {refusedByTarget(), outcome.NotRun, 503},
		"lost":     {resetByTarget(), outcome.Unknown, 504},
	}
	for name, tc := range cases {
		for _, cause := range []error{errShuttingDown, context.DeadlineExceeded} {
			t.Run(name+"/"+cause.Error(), func(t *testing.T) {
				r := &request{route: &dynamic.Route{Attempts: 2}, deadline: time.Now().Add(time.Minute)}
				f := newFlight(t.Context(), r, nil, nil)
				f.running, f.usedTargets = 1, []string{"t0"}
				f.results <- tc.end
				f.cancel(cause)
				res := f.resultAtContextEnd()
				got := res.outcome.Status()
				if res.response != nil {
					got = res.response.StatusCode()
				}
				qt.Check(t, res.outcome.Kind, qt.Equals, tc.kind)
				qt.Check(t, got, qt.Equals, tc.status)
			})
		}
	}
}

func TestUnassignedRequestIsRefusedAtItsDeadline(t *testing.T) {
	e := noTarget()
	res, _ := runFlight(t, false, scriptedResult{result: e, after: time.Hour})
	qt.Check(t, res.outcome.Reason, qt.Equals, outcome.ReasonTooLate)
	qt.Check(t, res.outcome.Kind, qt.Equals, outcome.NotRun)
}

func TestUnreachableTargetsAreAvoided(t *testing.T) {
	u := newUnreachableTargets()
	now := time.Unix(1_700_000_000, 0)
	u.record(now, "a", pool.VerdictUnreachable)
	u.record(now, "b", pool.VerdictReset)
	qt.Check(t, u.current(now), qt.DeepEquals, hashTargets([]string{"a"}))
	u.record(now.Add(time.Second), "a", pool.VerdictTimeout)
	qt.Check(t, u.current(now.Add(4*time.Second)), qt.HasLen, 1, qt.Commentf("the second penalty is longer"))
	u.record(now.Add(4*time.Second), "a", pool.VerdictAnswered)
	qt.Check(t, u.current(now.Add(4*time.Second)), qt.HasLen, 0)
}
