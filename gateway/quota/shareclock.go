package quota

import "time"

// slotTime is the precision with which the age of deposits is kept, and slots the number
// of slots kept, which cover the longest lifetime of a token.
const (
	slotTime = 50 * time.Millisecond
	slots    = 256
)

// shareClock adds up the fleet time that hosts have deposited: 1 s for each second in
// which all hosts of the fleet deposit their shares.
type shareClock struct {
	total time.Duration
	ring  [slots]struct {
		slot int64
		time time.Duration
	}
}

func slotOf(at time.Duration) int64 { return int64(at / slotTime) }

// add adds fleet time that was deposited at a time.
func (c *shareClock) add(at, share time.Duration) {
	s := slotOf(at)
	e := &c.ring[s%slots]
	if e.slot != s {
		e.slot, e.time = s, 0
	}
	e.time += share
	c.total += share
}

// within returns the fleet time that was deposited within life before now.
func (c *shareClock) within(now, life time.Duration) time.Duration {
	from, to := slotOf(now-life), slotOf(now)
	var sum time.Duration
	for s := max(from, to-slots+1); s <= to; s++ {
		if e := &c.ring[s%slots]; e.slot == s {
			sum += e.time
		}
	}
	return sum
}
