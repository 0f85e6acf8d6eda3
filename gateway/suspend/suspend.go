// Package suspend tells for how long the host has been suspended, which the monotonic
// clock does not count.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Min is the shortest difference of two totals that counts as a suspension, because the
// two clocks are not read at the same moment.
const Min = 50 * time.Millisecond

// Total returns how long the host has been suspended since it booted. It returns 0 if
// the clocks are not available.
func Total() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// Since returns for how long the host has been suspended since Total returned the given
// value.
func Since(total time.Duration) time.Duration {
	if d := Total() - total; d >= Min {
		return d
	}
	return 0
}
