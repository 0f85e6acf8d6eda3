package control

import (
	"math/rand/v2"
	"time"
)

const (
	backoffStart = 200 * time.Millisecond
	backoffMax   = 10 * time.Second
)

// Backoff grows a waiting time with each failure in a row, up to a bound. The
// zero value has seen no failure.
type Backoff struct {
	failures int
	until    time.Time
}

// Fail records a failure. The wait is between half and the whole of the
// doubled interval.
func (b *Backoff) Fail(now time.Time, rng *rand.Rand) {
	d := backoffMax
	if b.failures < 10 {
		d = min(backoffStart<<b.failures, backoffMax)
	}
	b.failures++
	b.until = now.Add(d/2 + time.Duration(rng.Int64N(int64(d/2))))
}

// Succeed forgets the failures.
func (b *Backoff) Succeed() { *b = Backoff{} }

// Wait returns the time left before the next attempt, zero if it may be made now.
func (b *Backoff) Wait(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }
