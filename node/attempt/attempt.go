// Package attempt says what the end of an exchange with a target means: for
// the Scheduler, and for the caller.
package attempt

import (
	"filbertmill.example/exchange"
	"filbertmill.example/outcome"
	"filbertmill.example/pool"
)

// AsFailure returns the Failure that a Body's Read reported.
func AsFailure(err error) *exchange.Failure {
	if f, ok := err.(*exchange.Failure); ok {
		return f
	}
	return &exchange.Failure{Stage: exchange.StageReceive, Cause: exchange.CauseConnection, Err: err}
}

// Verdict classifies an exchange without a whole answer.
func Verdict(f *exchange.Failure) pool.Verdict {
	switch {
	case f.Cause == exchange.CauseCancelled || f.Cause == exchange.CauseRequestBody:
		return pool.VerdictCancelled
	case f.Cause == exchange.CauseTimeout:
		return pool.VerdictTimeout
	case f.Stage == exchange.StageDial:
		return pool.VerdictUnreachable
	case f.Stage == exchange.StageReceive:
		return pool.VerdictTruncated
	}
	return pool.VerdictReset
}

// Reason maps an exchange's failure to the reason that callers are given.
func Reason(f *exchange.Failure) outcome.Reason {
	switch {
	case f.NotSent() && f.Cause == exchange.CauseCancelled:
		return outcome.ReasonCallerLeft
	case f.NotSent():
		return outcome.ReasonUnreachable
	case f.Cause == exchange.CauseTimeout:
		return outcome.ReasonTimeout
	case f.Cause == exchange.CauseCancelled, f.Cause == exchange.CauseRequestBody:
		return outcome.ReasonCallerLeft
	case f.Stage == exchange.StageReceive:
		return outcome.ReasonIncompleteAnswer
	}
	return outcome.ReasonConnectionLost
}
