// Package attempt maps the failure of an exchange with a target to the verdict
// for the Scheduler and to the reason for the caller.
package attempt

import (
	"filbertmill.example/exchange"
	"filbertmill.example/outcome"
	"filbertmill.example/pool"
)

// AsFailure returns the Failure that a Body's Read returned as an error. Any other
// error becomes a Failure of the connection while the answer was received.
func AsFailure(err error) *exchange.Failure {
	if f, ok := err.(*exchange.Failure); ok {
		return f
	}
	return &exchange.Failure{Stage: exchange.StageReceive, Cause: exchange.CauseConnection, Err: err}
}

// Verdict classifies an exchange that failed before the answer was complete.
func Verdict(f *exchange.Failure) pool.Verdict {
	switch {
	case f.Cause == exchange.CauseCancelled, f.Cause == exchange.CauseRequestBody, f.Cause == exchange.CauseNoMemory:
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

// Lost reports whether the connection was lost after the request was sent and before the
// answer was complete, as it is when the target's process ends.
func Lost(f *exchange.Failure) bool { return f.Cause == exchange.CauseConnection && !f.NotSent() }

// Reason maps an exchange's failure to the reason stated to the caller.
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
