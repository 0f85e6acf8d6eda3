package balance

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendMin is the least time that counts as a suspension; the two clocks are
// not read at the same moment.
const minSuspension = 50 * time.Millisecond

// suspendedTime returns how long the host has been suspended since it booted: the
// steady clock does not count that time. It is 0 where the host does not tell.
func suspendedTime() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
