package guard

import (
	"expvar"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptRetryDelay is the time between two calls of accept while file descriptors
// or memory are short. It is long enough not to spin, and short compared with the
// time that callers wait.
const acceptRetryDelay = 10 * time.Millisecond

// acceptsPostponed counts the calls that failed for lack of descriptors or memory.
var acceptsPostponed = expvar.NewInt("accepts_postponed")

// RetryingListener is a listener whose Accept retries while file descriptors or
// memory are short.
type RetryingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l RetryingListener) Accept() (net.Conn, error) { return AcceptRetrying(l.Listener.Accept) }

// AcceptRetrying calls accept until it succeeds or fails permanently.
func AcceptRetrying[C net.Conn](accept func() (C, error)) (C, error) {
	for {
		c, err := accept()
		if err == nil || !isShortage(err) {
			return c, err
		}
		acceptsPostponed.Add(1)
		time.Sleep(acceptRetryDelay)
	}
}

// isShortage reports whether err means that file descriptors or memory are short.
func isShortage(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}
