package pool

import (
	"math"
	"time"
)

const (
	// loadTime is the time over which arriving work is averaged: shorter than
	// most requests' patience, longer than the gaps between requests.
	loadTimeConstant = 500 * time.Millisecond
	// loadMax bounds the share of the slots that arriving work is taken to use,
	// so that a wait behind it stays finite.
	loadShareMax = 0.95
	// slotsMin is the least number of slots that waiting work is taken to get.
	queueSlotsMin = 0.5
)

// load is how much work came, or was started, lately.
type load struct {
	workSeconds float64
	at          time.Time
}

// add takes the work of one attempt.
func (l *load) add(now time.Time, work time.Duration) {
	l.workSeconds, l.at = l.decayed(now)+work.Seconds(), now
}

func (l *load) decayed(now time.Time) float64 {
	return l.workSeconds * math.Exp(-now.Sub(l.at).Seconds()/loadTimeConstant.Seconds())
}

// slots returns how many slots such work keeps busy.
func (l *load) busySlots(now time.Time) float64 { return l.decayed(now) / loadTimeConstant.Seconds() }

// queueSlots returns the slots that waiting work has got lately, and the share of
// them that is left once work that comes is served first. It tells little unless
// work has waited for about loadTime.
func (s *steered) queueSlots(now time.Time) (slots, left float64) {
	slots = max(queueSlotsMin, s.startedLoad.busySlots(now))
	return slots, 1 - min(loadShareMax, s.offeredLoad.busySlots(now)/slots)
}
