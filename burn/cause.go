package burn

import (
	"net/http"

	"filbertmill.example/outcome"
)

// Cause classifies the outcome of a request with regard to the service's objective.
type Cause uint8

// The causes. All but CauseGood burn the error budget.
const (
	// CauseGood means that the request was answered completely and in time.
	CauseGood Cause = iota
	// CauseTarget means that a target failed or was too slow.
	CauseTarget
	// CauseOverload means that the request was shed since demand exceeded
	// capacity; reports call it "shed at the crest".
	CauseOverload
	// CausePoison means that the request was refused since requests with its
	// fingerprint crash targets.
	CausePoison
	// CauseProxy means that filbertmill itself failed; reports call it "own faults".
	CauseProxy
	// causeCount is the number of causes that are counted.
	causeCount
	// CauseCaller means that the caller caused the request's failure or ended the
	// request; it is not counted.
	CauseCaller
)

// causeNames are the names of the counted causes in reports.
var causeNames = [causeCount]string{"good", "target faults", "shed at the crest", "poison", "own faults"}

// String returns the cause's name in reports.
func (c Cause) String() string {
	if c < causeCount {
		return causeNames[c]
	}
	return "caller"
}

// reasonCauses maps each reason that ends a request without a target's answer to
// its cause. A reason that is missing counts as a fault of filbertmill itself.
var reasonCauses = map[outcome.Reason]Cause{
	outcome.ReasonNoRoute:          CauseCaller,
	outcome.ReasonNoConfiguration:  CauseProxy,
	outcome.ReasonBadRequest:       CauseCaller,
	outcome.ReasonUnknownKey:       CauseCaller,
	outcome.ReasonOutdated:         CauseProxy,
	outcome.ReasonQuota:            CauseCaller,
	outcome.ReasonTooLarge:         CauseCaller,
	outcome.ReasonCallerLeft:       CauseCaller,
	outcome.ReasonKeyReused:        CauseCaller,
	outcome.ReasonQueueFull:        CauseOverload,
	outcome.ReasonTooLate:          CauseOverload,
	outcome.ReasonCallerShare:      CauseOverload,
	outcome.ReasonTargetRefused:    CauseOverload,
	outcome.ReasonRateLimited:      CauseOverload,
	outcome.ReasonNoTarget:         CauseTarget,
	outcome.ReasonUnreachable:      CauseTarget,
	outcome.ReasonConnectionLost:   CauseTarget,
	outcome.ReasonTimeout:          CauseTarget,
	outcome.ReasonIncompleteAnswer: CauseTarget,
	outcome.ReasonPoison:           CausePoison,
	outcome.ReasonNoHome:           CauseProxy,
	outcome.ReasonHomeLost:         CauseProxy,
	outcome.ReasonNoClaim:          CauseProxy,
	outcome.ReasonEarlierUnknown:   CauseProxy,
	outcome.ReasonShutdown:         CauseProxy,
	outcome.ReasonInterrupted:      CauseProxy,
	outcome.ReasonNotAuthenticated: CauseProxy,
}

// Classify returns the cause for a request's outcome. status is the status of the
// target's answer, if there is one; late is set if the answer ended after the
// request's deadline.
func Classify(reason outcome.Reason, status int, late bool) Cause {
	if reason == outcome.ReasonAnswered {
		if late || status >= http.StatusInternalServerError {
			return CauseTarget
		}
		return CauseGood
	}
	cause, found := reasonCauses[reason]
	if !found {
		return CauseProxy
	}
	return cause
}
