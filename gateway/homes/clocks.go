package homes

import (
	"sync"
	"time"
)

// clocks tells what the clocks of homes show, by what they showed when they
// answered last.
type homeClocks struct {
	mu       sync.Mutex
	readings map[string]clockReading
}

// reading is what a home's clock showed in an answer that came at a time.
type clockReading struct {
	clock time.Duration
	at    time.Time
}

// note takes the clock of an answer that has just come.
func (c *homeClocks) record(home string, clock time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[home] = clockReading{clock, time.Now()}
}

// estimate returns what a home's clock shows at least, or 0 if that is not known.
// A home that was restarted since shows less, and finds the estimate ahead.
func (c *homeClocks) estimate(home string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.readings[home]
	if !ok {
		return 0
	}
	return r.clock + time.Since(r.at)
}
