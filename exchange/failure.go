package exchange

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cockroachdb/errors"
)

// Stage is how far an exchange got.
type Stage uint8

// The stages of an exchange, in order.
const (
	// StageDial means that no connection was opened; nothing was written.
	StageDial Stage = iota
	// StageSend means that the request was being written.
	StageSend
	// StageAwait means that the request was written and no usable answer had begun.
	StageAwait
	// StageReceive means that an answer had begun to arrive.
	StageReceive
)

// String returns the stage's name.
func (s Stage) String() string {
	return [...]string{"dial", "send", "await", "receive"}[s]
}

// Cause is why an exchange failed.
type Cause uint8

// The causes of failure.
const (
	// CauseConnection means that the connection could not be opened or was lost.
	CauseConnection Cause = iota
	// CauseTimeout means that the context's deadline passed.
	CauseTimeout
	// CauseCancelled means that the context was cancelled.
	CauseCancelled
	// CauseMalformed means that the answer violated the protocol, had no
	// verifiable end, was too long, or belonged to another request.
	CauseMalformed
	// CauseRequestBody means that the request body could not be read to its end.
	CauseRequestBody
	// CauseNoMemory means that callers hold the memory in which the answer would have
	// been buffered. The remote end is not at fault.
	CauseNoMemory
)

// String returns the cause's name.
func (c Cause) String() string {
	return [...]string{"connection", "timeout", "cancelled", "malformed", "request_body", "no_memory"}[c]
}

// Failure is the error of an exchange that ended without a complete answer.
type Failure struct {
	// Stage is how far the exchange got.
	Stage Stage
	// Cause is why the exchange failed.
	Cause Cause
	// Err is the underlying error.
	Err error
	// Idle is how long the connection was idle before the exchange, or 0 for a
	// new connection. The remote end may have dropped an idle connection without
	// notice; it answers a request on it with a reset.
	Idle time.Duration
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %s: %v", f.Stage, f.Cause, f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// NotSent reports whether certainly no byte of the request was written.
func (f *Failure) NotSent() bool { return f.Stage == StageDial }

// endOfProcess reports whether the remote process may have ended: it refused the
// connection, or closed it without the head of an answer.
func (f *Failure) endOfProcess() bool {
	switch {
	case f.Cause != CauseConnection:
		return false
	case f.Stage == StageDial:
		return errors.Is(f.Err, syscall.ECONNREFUSED)
	}
	return f.Stage != StageReceive
}

// Breach is the reason for which an answer that arrived is unusable.
type Breach string

// The reasons for which an answer is unusable. The head of an answer is its status
// line and headers.
const (
	BreachHeadTooLarge Breach = "head_too_large"
	BreachInterim      Breach = "interim_answers"
	BreachNotHTTP      Breach = "not_http"
	BreachHead         Breach = "head"
	BreachFraming      Breach = "framing"
	BreachNoLength     Breach = "no_length"
	BreachBodyTooLarge Breach = "body_too_large"
	BreachChunks       Breach = "chunks"
	BreachTrailers     Breach = "trailers_too_large"
	BreachOtherAttempt Breach = "other_attempt"
	// BreachMemory means that the answer was the largest when the memory budget for
	// answers was used up.
	BreachMemory  Breach = "memory"
	breachUnknown Breach = "unknown"
)

// breachError is the error for a Breach.
type breachError struct {
	breach Breach
	text   string
}

// Error implements error.
func (e *breachError) Error() string { return e.text }

// Errors for answers that arrived and are unusable.
var (
	errHeadTooLarge = &breachError{BreachHeadTooLarge, "the answer's head exceeds the size limit"}
	errInterim      = &breachError{BreachInterim, "the answer has too many interim answers (1xx)"}
	errNotHTTP      = &breachError{BreachNotHTTP, "the received bytes are not an HTTP answer"}
	errHead         = &breachError{BreachHead, "the answer's head is invalid"}
	errFraming      = &breachError{BreachFraming, "the answer's length is ambiguous"}
	errNoLength     = &breachError{BreachNoLength, "the answer states no length and is not chunked"}
	errTooLong      = &breachError{BreachBodyTooLarge, "the answer exceeds the size limit"}
	errChunks       = &breachError{BreachChunks, "the answer's chunked encoding is invalid"}
	errTrailers     = &breachError{BreachTrailers, "the answer's trailers exceed the size limit"}
	errMemory       = &breachError{BreachMemory, "the answer was the largest when the memory budget for answers was used up"}
	errOtherAttempt = &breachError{BreachOtherAttempt, "the answer belongs to another attempt"}
)

// errNoMemory is the error of an answer for which callers leave no memory.
var errNoMemory = errors.New("callers hold the memory for answers")

// isBreach reports whether err says that an answer is unusable.
func isBreach(err error) bool {
	var b *breachError
	return errors.As(err, &b)
}

// Breach returns why the answer is unusable. It is empty unless the cause is
// CauseMalformed.
func (f *Failure) Breach() Breach {
	var b *breachError
	switch {
	case f.Cause != CauseMalformed:
		return ""
	case errors.As(f.Err, &b):
		return b.breach
	}
	return breachUnknown
}

// newFailure returns the Failure for err, which ended an exchange at the given
// stage.
func newFailure(ctx context.Context, stage Stage, err error) *Failure {
	f := &Failure{Stage: stage, Cause: CauseConnection, Err: err}
	switch {
	case isBreach(err):
		f.Cause = CauseMalformed
	case errors.Is(err, errNoMemory):
		f.Cause = CauseNoMemory
	case errors.Is(ctx.Err(), context.Canceled):
		f.Cause = CauseCancelled
	case ctx.Err() != nil || isTimeout(err):
		f.Cause = CauseTimeout
	}
	return f
}

// isTimeout reports whether err means that the deadline of a connection passed.
func isTimeout(err error) bool {
	if errors.IsAny(err, os.ErrDeadlineExceeded, herrors.ErrTimeout, context.DeadlineExceeded) {
		return true
	}
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
