package outcome

import (
	"fmt"
	"strconv"
	"time"
)

// ReasonHeader carries the Reason from a home to the entry node. Entry nodes
// remove it from what callers get, and homes from what targets send.
const ReasonHeader = "Filbertmill-Reason"

// ParseError says why the outcome of a home's answer could not be believed.
type ParseError struct {
	// Kind and Reason are the values that the answer carried.
	Kind, Reason string
}

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("outcome %q with reason %q is not in the contract", e.Kind, e.Reason)
}

// Parse reads the outcome of a home's answer from the values of Header,
// ReasonHeader and Retry-After. Where kind and reason are not a pair of the
// contract, nothing is proved: the outcome is Unknown and the error is a
// *ParseError. An unreadable Retry-After gives no advice.
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

// parseSeconds reads a count of seconds; 0 if it is not one within bounds.
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
