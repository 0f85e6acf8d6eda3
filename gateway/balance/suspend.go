package balance

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest difference that counts as a suspension, because the
// two clocks are not read at the same moment.
const minSuspension = 50 * time.Millisecond

// suspendedTime returns how long the host has been suspended since it booted, which
// the monotonic clock does not count. It returns 0 if the clocks are not available.
func suspendedTime() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
