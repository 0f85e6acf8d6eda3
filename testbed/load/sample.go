package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result says what a caller got.
type Result string

// The results of an attempt.
const (
	// ResultComplete is the whole answer to the request.
	ResultComplete Result = "whole"
	// ResultStatus is a complete answer with a status other than 2xx.
	ResultStatus Result = "status"
	// ResultTruncated looks complete and is the start of the right answer.
	ResultTruncated Result = "cut"
	// ResultMismatch looks complete and is not the answer to this request.
	ResultMismatch Result = "mixed"
	// ResultBroken is an answer that the caller could see was incomplete.
	ResultBroken Result = "broken"
	// ResultLost is a connection that ended before an answer.
	ResultLost Result = "lost"
	// ResultTimeout is a caller's patience that ended before an answer.
	ResultTimeout Result = "timeout"
	// ResultNoEntry means that no entry could be reached.
	ResultNoEntry Result = "no_entry"
)

// Attempt is one sending of a request.
type Attempt struct {
	// Entry is the address it was sent to.
	Entry string
	// Result says what came back.
	Result Result
	// Status is the HTTP status, or 0.
	Status int
	// Outcome is the outcome header's value, if any.
	Outcome string
	// ProxyStatus is the Proxy-Status header's value, if any.
	ProxyStatus string
	// RetryAfter says that the answer told the caller when to come back.
	RetryAfter bool
	// Target names the target that answered, if any.
	Target string
	// Err explains a failure.
	Err error
}

// Sample is one request with all its attempts.
type Sample struct {
	Arrival
	// Due is when the request was due.
	Due time.Time
	// Latency is the time from Due to the end of the last attempt.
	Latency time.Duration
	// Attempts has at least one entry.
	Attempts []Attempt
}

// Last returns the last attempt.
func (s Sample) Last() Attempt { return s.Attempts[len(s.Attempts)-1] }

// Good says that the caller got the whole answer in time.
func (s Sample) Good() bool { return s.Last().Result == ResultComplete }

// Wait is the part of the latency that is not service time.
func (s Sample) Wait() time.Duration { return s.Latency - s.Work }

// Select returns the samples that satisfy keep.
func Select(samples []Sample, keep func(Sample) bool) []Sample {
	var out []Sample
	for _, s := range samples {
		if keep(s) {
			out = append(out, s)
		}
	}
	return out
}

// Count returns how many samples satisfy keep.
func Count(samples []Sample, keep func(Sample) bool) int {
	return len(Select(samples, keep))
}

// histogramMax is the longest time that a histogram resolves.
const histogramMax = 5 * time.Minute

// Quantile returns a quantile, from 0 to 100, of a time taken from each
// sample; 0 if there are none.
func Quantile(samples []Sample, q float64, of func(Sample) time.Duration) time.Duration {
	const digits = 3
	h := hdrhistogram.New(1, histogramMax.Microseconds(), digits)
	for _, s := range samples {
		h.RecordValue(min(max(1, of(s).Microseconds()), histogramMax.Microseconds()))
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
