package pool

import "time"

// The bounds of the pause of a target that refuses work with all slots free.
const (
	pauseMin = 50 * time.Millisecond
	pauseMax = 2 * time.Second
)

// limit is the number of slots that a target has shown it grants. It falls
// when the target refuses work and rises again one slot at a time.
type limit struct {
	slots int
	// raiseAt is when the limit rises next, if it is lowered.
	raiseAt time.Time
	// pausedUntil and pause keep work away from a target that refuses all.
	pausedUntil time.Time
	pause       time.Duration
}

// refused lowers the limit to the work that the target still holds.
func (l *limit) lower(now time.Time, held int, recovery time.Duration) {
	l.slots = max(1, min(l.slots, held))
	l.raiseAt = now.Add(recovery)
	if held == 0 {
		l.backOff(now)
	}
}

// hold keeps work away from the target for a time that doubles with each call.
func (l *limit) backOff(now time.Time) {
	l.pause = min(max(2*l.pause, pauseMin), pauseMax)
	l.pausedUntil = now.Add(l.pause)
}

// answered notes that the target took work.
func (l *limit) resetPause() { l.pause = 0 }

// tick raises a lowered limit that is due, up to slots.
func (l *limit) tick(now time.Time, slots int, recovery time.Duration) {
	if l.slots >= slots || now.Before(l.raiseAt) {
		return
	}
	l.slots++
	l.raiseAt = now.Add(recovery)
}
