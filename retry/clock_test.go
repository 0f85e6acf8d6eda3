package retry_test

import (
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/retry"
)

// stepped returns at as time.Now returns it after the wall clock has jumped by
// the given number of seconds. The monotonic clock is unchanged.
func stepped(t *testing.T, at time.Time, seconds int64) time.Time {
	t.Helper()
	const secondsShift = 30 // position of the seconds in the wall field of time.Time, in bits
	moved := at
	(*struct{ wall uint64 })(unsafe.Pointer(&moved)).wall += uint64(seconds << secondsShift)
	qt.Assert(t, moved.Unix()-at.Unix(), qt.Equals, seconds)
	qt.Assert(t, moved.Sub(at), qt.Equals, time.Duration(0))
	return moved
}

// TestBudgetIsNotSpentTwiceWhenTheTimeOfDayJumps guards against second attempts
// that stop counting too early because the host's wall clock was set.
func TestBudgetIsNotSpentTwiceWhenTheTimeOfDayJumps(t *testing.T) {
	for _, seconds := range []int64{-30, -5, 5, 30} {
		b := retry.NewBudget(retry.Config{MinPerWindow: 3})
		now := time.Now()
		qt.Assert(t, take(b, now, false, 10), qt.Equals, 3)
		later := stepped(t, now.Add(time.Second), seconds)
		qt.Check(t, take(b, later, false, 10), qt.Equals, 0, qt.Commentf("%d s", seconds))
		qt.Check(t, take(b, later.Add(9*time.Second), false, 10), qt.Equals, 3, qt.Commentf("%d s", seconds))
	}
}

// TestRequestsLeaveTheWindowWhenTheTimeOfDayJumps guards against requests that
// earn second attempts for longer than the window because the host's wall clock
// was set.
func TestRequestsLeaveTheWindowWhenTheTimeOfDayJumps(t *testing.T) {
	for _, seconds := range []int64{-30, -5, 5, 30} {
		b := retry.NewBudget(retry.Config{Share: 0.5})
		now := time.Now()
		for range 100 {
			b.Request(now)
		}
		qt.Check(t, b.Left(stepped(t, now.Add(9*time.Second), seconds)), qt.Equals, 50, qt.Commentf("%d s", seconds))
		qt.Check(t, b.Left(stepped(t, now.Add(11*time.Second), seconds)), qt.Equals, 0, qt.Commentf("%d s", seconds))
	}
}
