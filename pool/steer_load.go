package pool

import (
	"math"
	"time"
)

const (
	// loadTime is the time over which arriving work is averaged: shorter than
	// most requests' patience, longer than the gaps between requests.
	loadTime = 500 * time.Millisecond
	// loadMax bounds the share of the slots that arriving work is taken to use,
	// so that a wait behind it stays finite.
	loadMax = 0.95
	// slotsMin is the least number of slots that waiting work is taken to get.
	slotsMin = 0.5
)

// load is how much work came, or was started, lately.
type load struct {
	seconds float64
	at      time.Time
}

// add takes the work of one attempt.
func (l *load) add(now time.Time, work time.Duration) {
	l.seconds, l.at = l.fade(now)+work.Seconds(), now
}

func (l *load) fade(now time.Time) float64 {
	return l.seconds * math.Exp(-now.Sub(l.at).Seconds()/loadTime.Seconds())
}

// slots returns how many slots such work keeps busy.
func (l *load) slots(now time.Time) float64 { return l.fade(now) / loadTime.Seconds() }

// queueSlots returns the slots that waiting work has got lately, and the share of
// them that is left once work that comes is served first. It tells little unless
// work has waited for about loadTime.
func (s *steered) queueSlots(now time.Time) (slots, left float64) {
	slots = max(slotsMin, s.started.slots(now))
	return slots, 1 - min(loadMax, s.offered.slots(now)/slots)
}
