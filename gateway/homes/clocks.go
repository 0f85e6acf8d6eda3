package homes

import (
	"sync"
	"time"
)

// homeClocks estimates the clocks of homes by the readings in their latest answers.
type homeClocks struct {
	mu       sync.Mutex
	readings map[string]clockReading
}

// clockReading is the reading of a home's clock in an answer that was received at a
// time.
type clockReading struct {
	clock time.Duration
	at    time.Time
}

// record stores the clock reading of an answer that has just been received.
func (c *homeClocks) record(home string, clock time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[home] = clockReading{clock, time.Now()}
}

// estimate returns a lower bound of a home's clock, or 0 if it is not known. If the
// home was restarted since its latest answer, its clock shows less than the
// estimate, by which the home recognizes the estimate as invalid.
func (c *homeClocks) estimate(home string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.readings[home]
	if !ok {
		return 0
	}
	return r.clock + time.Since(r.at)
}
