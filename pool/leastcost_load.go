package pool

import (
	"math"
	"time"
)

const (
	// loadTimeConstant is the time constant of the moving average of arriving work. It
	// is shorter than most requests can wait, and longer than the gaps between requests.
	loadTimeConstant = 500 * time.Millisecond
	// loadShareMax bounds the share of the slots that arriving work is assumed to
	// use, so that the expected wait behind it stays finite.
	loadShareMax = 0.95
	// queueSlotsMin is the least number of slots that waiting work is assumed to get.
	queueSlotsMin = 0.5
)

// load is an exponentially decaying sum of expected service times.
type load struct {
	workSeconds float64
	at          time.Time
}

// add adds the expected service time of one attempt.
func (l *load) add(now time.Time, work time.Duration) {
	l.workSeconds, l.at = l.decayed(now)+work.Seconds(), now
}

func (l *load) decayed(now time.Time) float64 {
	return l.workSeconds * math.Exp(-now.Sub(l.at).Seconds()/loadTimeConstant.Seconds())
}

// busySlots returns the number of slots that work arriving at this rate keeps busy.
func (l *load) busySlots(now time.Time) float64 { return l.decayed(now) / loadTimeConstant.Seconds() }

// queueSlots returns the number of slots that waiting attempts have recently got,
// and the share of them that is left once newly arriving attempts go first. Both
// are imprecise unless attempts have been waiting for about loadTimeConstant.
func (s *leastCost) queueSlots(now time.Time) (slots, left float64) {
	slots = max(queueSlotsMin, s.startedLoad.busySlots(now))
	return slots, 1 - min(loadShareMax, s.offeredLoad.busySlots(now)/slots)
}
