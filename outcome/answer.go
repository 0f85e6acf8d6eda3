package outcome

import (
	"encoding/json"
	"strings"
	"time"
)

// minRetryAfter is the shortest Retry-After given where a retry is advised.
const minRetryAfter = time.Second

// maxRetryAfter is the longest Retry-After that is given, or accepted from a home.
const maxRetryAfter = time.Hour

// problemType is the prefix of the type member of a problem: a tag URI (RFC 4151).
const problemType = "tag:filbertmill.example,2026:"

// ProblemMediaType is the Content-Type of what Problem returns (RFC 9457).
const ProblemMediaType = "application/problem+json"

// New returns the outcome that the contract defines for a reason. RetryAfter is
// rounded up to a full second, and dropped where a retry is not advised.
func New(r Reason, detail string, retryAfter time.Duration) Outcome {
	row, _ := Lookup(r)
	o := Outcome{Kind: row.Kind, Reason: r, Detail: detail}
	if row.RetryAfter {
		o.RetryAfter = wholeSeconds(retryAfter)
	}
	return o
}

// wholeSeconds rounds up to full seconds, within the limits of Retry-After.
func wholeSeconds(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return (d + time.Second - 1).Truncate(time.Second)
}

// Status returns the HTTP status, or 0 if the target's own status is passed on.
func (o Outcome) Status() int {
	row, _ := Lookup(o.Reason)
	return row.Status
}

// Title returns the human-readable sentence for the reason.
func (o Outcome) Title() string {
	row, _ := Lookup(o.Reason)
	return row.Title
}

// ProxyStatus returns the value of the Proxy-Status header (RFC 9209) of an
// answer from the named node.
func (o Outcome) ProxyStatus(node string) string {
	row, _ := Lookup(o.Reason)
	value := quote(node)
	if row.ProxyError == "" {
		return value
	}
	return value + "; error=" + row.ProxyError + "; details=" + quote(string(o.Reason))
}

// quote returns s as a structured field string (RFC 8941). Characters that are
// not allowed in one are replaced by underscores.
func quote(s string) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b.WriteByte('\\')
			b.WriteRune(r)
		case r < ' ' || r > '~':
			b.WriteByte('_')
		default:
			b.WriteRune(r)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// Problem is the body of an answer that filbertmill itself generates (RFC 9457).
type Problem struct {
	// Type is a URI that ends in the reason.
	Type string `json:"type"`
	// Title is the sentence for the reason; it is the same for each occurrence.
	Title string `json:"title"`
	// Status repeats the HTTP status.
	Status int `json:"status"`
	// Detail is a sentence about this occurrence.
	Detail string `json:"detail,omitempty"`
	// Outcome states whether the request was run.
	Outcome Kind `json:"outcome"`
	// Reason states why the request ended with this outcome.
	Reason Reason `json:"reason"`
	// Request is the request's id.
	Request string `json:"request,omitempty"`
}

// Problem returns the JSON body that reports the outcome to the caller, or nil
// if the caller gets the target's own answer. Request is the request's id.
func (o Outcome) Problem(request string) []byte {
	if o.Kind == Run {
		return nil
	}
	row, _ := Lookup(o.Reason)
	body, err := json.Marshal(Problem{
		Type:    problemType + string(o.Reason),
		Title:   row.Title,
		Status:  row.Status,
		Detail:  o.Detail,
		Outcome: o.Kind,
		Reason:  o.Reason,
		Request: request,
	})
	if err != nil {
		panic("outcome: a problem of plain strings cannot be encoded: " + err.Error())
	}
	return body
}
