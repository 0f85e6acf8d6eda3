package pool

import "time"

// The bounds of the pause of a target that refuses requests with all slots free.
const (
	pauseMin = 50 * time.Millisecond
	pauseMax = 2 * time.Second
)

// limit is the number of slots that a target may use. It falls when the target
// refuses a request and rises again one slot at a time.
type limit struct {
	slots int
	// raiseAt is when a lowered limit rises next.
	raiseAt time.Time
	// pausedUntil and pause keep requests away from a target that refuses all of them.
	pausedUntil time.Time
	pause       time.Duration
}

// lower lowers the limit to the number of attempts that the target still runs.
func (l *limit) lower(now time.Time, inFlight int, recovery time.Duration) {
	l.slots = max(1, min(l.slots, inFlight))
	l.raiseAt = now.Add(recovery)
	if inFlight == 0 {
		l.backOff(now)
	}
}

// backOff keeps requests away from the target for a time that doubles with each call.
func (l *limit) backOff(now time.Time) {
	l.pause = min(max(2*l.pause, pauseMin), pauseMax)
	l.pausedUntil = now.Add(l.pause)
}

// resetPause resets the backoff after the target has answered.
func (l *limit) resetPause() { l.pause = 0 }

// tick raises a lowered limit by one slot if that is due, up to slots.
func (l *limit) tick(now time.Time, slots int, recovery time.Duration) {
	if l.slots >= slots || now.Before(l.raiseAt) {
		return
	}
	l.slots++
	l.raiseAt = now.Add(recovery)
}
