package exchange

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cockroachdb/errors"
)

// Stage says how far an exchange got.
type Stage uint8

// The stages of an exchange, in order.
const (
	// StageDial means that no connection was opened; nothing was written.
	StageDial Stage = iota
	// StageSend means that the request was being written.
	StageSend
	// StageAwait means that the request was written and no answer had begun.
	StageAwait
	// StageReceive means that the answer had begun.
	StageReceive
)

// String returns the stage's name.
func (s Stage) String() string {
	return [...]string{"dial", "send", "await", "receive"}[s]
}

// Cause says why an exchange failed.
type Cause uint8

// The causes of failure.
const (
	// CauseConnection means that the connection could not be opened or was lost.
	CauseConnection Cause = iota
	// CauseTimeout means that the context's deadline passed.
	CauseTimeout
	// CauseCancelled means that the context was cancelled.
	CauseCancelled
	// CauseMalformed means that the answer broke the protocol, had no
	// provable end, was too long, or belonged to another request.
	CauseMalformed
	// CauseRequestBody means that the request body could not be read to its end.
	CauseRequestBody
)

// String returns the cause's name.
func (c Cause) String() string {
	return [...]string{"connection", "timeout", "cancelled", "malformed", "request_body"}[c]
}

// Failure is the end of an exchange without a whole answer.
type Failure struct {
	// Stage is how far the exchange got.
	Stage Stage
	// Cause is why it went no further.
	Cause Cause
	// Err is the underlying error.
	Err error
	// Idle is how long the connection had been unused before the exchange, or 0
	// for a new one. The other end may have forgotten an idle connection, and
	// resets whatever comes on it.
	Idle time.Duration
}

// Error describes the failure.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %s: %v", f.Stage, f.Cause, f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// NotSent reports whether it is proved that no byte of the request was written.
func (f *Failure) NotSent() bool { return f.Stage == StageDial }

// Errors for answers that arrived and cannot be used.
var (
	errNoLength     = errors.New("the answer has neither a length nor a chunked end")
	errTooLong      = errors.New("the answer exceeds the size limit")
	errOtherAttempt = errors.New("the answer names another attempt")
)

// fail classifies err, which ended an exchange at the given stage.
func fail(ctx context.Context, stage Stage, err error) *Failure {
	f := &Failure{Stage: stage, Cause: CauseConnection, Err: err}
	switch {
	case errors.IsAny(err, errNoLength, errTooLong, errOtherAttempt):
		f.Cause = CauseMalformed
	case errors.Is(ctx.Err(), context.Canceled):
		f.Cause = CauseCancelled
	case ctx.Err() != nil || isTimeout(err):
		f.Cause = CauseTimeout
	}
	return f
}

// isTimeout reports whether err says that a connection deadline passed.
func isTimeout(err error) bool {
	if errors.IsAny(err, os.ErrDeadlineExceeded, herrors.ErrTimeout, context.DeadlineExceeded) {
		return true
	}
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
