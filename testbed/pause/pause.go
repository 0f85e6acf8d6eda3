// Package pause waits more exactly than the runtime's timers, which may be a
// millisecond late.
package pause

import (
	"syscall"
	"time"
)

// margin is the part of a wait that the kernel's timer takes; it holds an
// operating system thread for that time.
const margin = 4 * time.Millisecond

// Until waits until the given time.
func Until(t time.Time) {
	if early := time.Until(t) - margin; early > 0 {
		time.Sleep(early)
	}
	for left := time.Until(t); left > 0; left = time.Until(t) {
		ts := syscall.NsecToTimespec(left.Nanoseconds())
		// An interrupted sleep is taken up again by the loop.
		_ = syscall.Nanosleep(&ts, nil)
	}
}
