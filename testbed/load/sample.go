package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a caller received for one attempt.
type Result string

// The results of an attempt.
const (
	// ResultComplete is the complete answer to the request.
	ResultComplete Result = "whole"
	// ResultStatus is a complete answer with a status other than 2xx.
	ResultStatus Result = "status"
	// ResultTruncated is an answer that looks complete and is a prefix of the expected one.
	ResultTruncated Result = "cut"
	// ResultMismatch is an answer that looks complete and does not belong to the
	// request.
	ResultMismatch Result = "mixed"
	// ResultBroken is an answer that the caller could recognize as incomplete.
	ResultBroken Result = "broken"
	// ResultLost is a connection that was closed before an answer.
	ResultLost Result = "lost"
	// ResultTimeout is the timeout of the caller, passed before an answer.
	ResultTimeout Result = "timeout"
	// ResultNoEntry means that no entry could be reached.
	ResultNoEntry Result = "no_entry"
)

// Attempt records one sending of a request.
type Attempt struct {
	// Entry is the address that the request was sent to.
	Entry string
	// Result is what the caller received.
	Result Result
	// Status is the HTTP status of the answer, or 0 without an answer.
	Status int
	// Outcome is the value of the outcome header, if any.
	Outcome string
	// ProxyStatus is the value of the Proxy-Status header, if any.
	ProxyStatus string
	// RetryAfter is set if the answer has a Retry-After header.
	RetryAfter bool
	// Target names the target that answered, if any.
	Target string
	// Err is the cause of a failure.
	Err error
}

// Sample records one request with all its attempts.
type Sample struct {
	Arrival
	// Due is when the request was due.
	Due time.Time
	// Latency is the time from Due to the end of the last attempt.
	Latency time.Duration
	// Attempts holds at least one attempt.
	Attempts []Attempt
}

// Last returns the last attempt.
func (s Sample) Last() Attempt { return s.Attempts[len(s.Attempts)-1] }

// Good reports whether the caller received the complete answer in time.
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

// Count returns the number of samples that satisfy keep.
func Count(samples []Sample, keep func(Sample) bool) int {
	return len(Select(samples, keep))
}

// histogramMax is the largest time that a histogram records; longer ones count as it.
const histogramMax = 5 * time.Minute

// Quantile returns the quantile q, from 0 to 100, of the time that of returns for each
// sample, or 0 without samples.
func Quantile(samples []Sample, q float64, of func(Sample) time.Duration) time.Duration {
	const digits = 3
	h := hdrhistogram.New(1, histogramMax.Microseconds(), digits)
	for _, s := range samples {
		h.RecordValue(min(max(1, of(s).Microseconds()), histogramMax.Microseconds()))
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
