package outcome

import (
	"fmt"
	"strconv"
	"time"
)

// ReasonHeader is the header that carries the Reason from a home to the entry
// node. Entry nodes remove it from answers to callers, and homes remove it from
// answers of targets.
const ReasonHeader = "Filbertmill-Reason"

// ParseError is returned if the outcome in a home's answer is not valid.
type ParseError struct {
	// Kind and Reason are the values that the answer carried.
	Kind, Reason string
}

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("outcome %q with reason %q is not in the contract", e.Kind, e.Reason)
}

// Parse reads the outcome of a home's answer from the values of Header,
// ReasonHeader and Retry-After. If the contract has no such pair of kind and
// reason, nothing is proved: the outcome is Unknown and the error is a
// *ParseError. An invalid Retry-After gives no advice.
func Parse(kind, reason, retryAfter string) (Outcome, error) {
	row, ok := Lookup(Reason(reason))
	if !ok || Kind(kind) != row.Kind {
		err := &ParseError{Kind: kind, Reason: reason}
		return New(ReasonHomeLost, err.Error(), 0), err
	}
	o := Outcome{Kind: row.Kind, Reason: Reason(reason)}
	if row.RetryAfter {
		o.RetryAfter = parseSeconds(retryAfter)
	}
	return o, nil
}

// parseSeconds parses a number of seconds and limits it to maxRetryAfter. It
// returns 0 if s is not such a number.
func parseSeconds(s string) time.Duration {
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil {
		return 0
	}
	return min(time.Duration(n)*time.Second, maxRetryAfter)
}

// FormatRetryAfter returns the value of the Retry-After header, or "" if the
// outcome gives no advice.
func (o Outcome) FormatRetryAfter() string {
	if o.RetryAfter <= 0 {
		return ""
	}
	return strconv.FormatInt(int64(wholeSeconds(o.RetryAfter)/time.Second), 10)
}
