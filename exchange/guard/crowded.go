package guard

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	// crowdedIdleTime is the time for which a connection must have been idle to be closed
	// for another.
	crowdedIdleTime = time.Second
	// crowdedBatch is the number of connections that are closed at once, so that they are
	// not searched for each new one.
	crowdedBatch = 16
)

// LongestIdle returns the connections that may be closed to make room for new ones: those
// that have been idle for the longest time, by the given function.
func LongestIdle[C any](conns iter.Seq[C], idle func(C) time.Duration) []C {
	type idleConn struct {
		conn C
		idle time.Duration
	}
	var list []idleConn
	for c := range conns {
		if d := idle(c); d >= crowdedIdleTime {
			list = append(list, idleConn{c, d})
		}
	}
	slices.SortFunc(list, func(a, b idleConn) int { return cmp.Compare(b.idle, a.idle) })
	var longest []C
	for _, c := range list[:min(len(list), crowdedBatch)] {
		longest = append(longest, c.conn)
	}
	return longest
}
