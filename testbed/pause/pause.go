// Package pause waits for a point in time with higher precision than the timers of
// the Go runtime, which may fire a millisecond late.
package pause

import (
	"syscall"
	"time"
)

// margin is the last part of a wait, which a timer of the kernel measures. The wait
// blocks an operating system thread for that time.
const margin = 4 * time.Millisecond

// Until waits until the given time.
func Until(t time.Time) {
	if early := time.Until(t) - margin; early > 0 {
		time.Sleep(early)
	}
	for left := time.Until(t); left > 0; left = time.Until(t) {
		ts := syscall.NsecToTimespec(left.Nanoseconds())
		// The loop resumes a sleep that a signal has interrupted.
		_ = syscall.Nanosleep(&ts, nil)
	}
}
