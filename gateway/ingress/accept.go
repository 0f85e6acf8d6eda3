package ingress

import (
	"expvar"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptPause is the time between two tries to accept while descriptors or memory
// are short: long enough not to spin, short beside the time that callers wait.
const acceptPause = 10 * time.Millisecond

// postponed counts the tries that failed so.
var postponed = expvar.NewInt("accepts_postponed")

// RetryingListener goes on after errors of Accept that pass by themselves.
type RetryingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l RetryingListener) Accept() (net.Conn, error) { return acceptPatiently(l.Listener.Accept) }

// acceptPatiently calls accept until it succeeds or fails for good.
func acceptPatiently[C net.Conn](accept func() (C, error)) (C, error) {
	for {
		c, err := accept()
		if err == nil || !isShortage(err) {
			return c, err
		}
		postponed.Add(1)
		time.Sleep(acceptPause)
	}
}

// isShortage reports whether err says that descriptors or memory are short.
func isShortage(err error) bool {
	return errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM)
}
