package control

import (
	"math/rand/v2"
	"time"
)

const (
	backoffStart = 200 * time.Millisecond
	backoffMax   = 10 * time.Second
)

// Backoff is an exponential backoff with jitter. The wait doubles with each
// consecutive failure, up to backoffMax. The zero value has no failure recorded.
type Backoff struct {
	failures int
	until    time.Time
}

// Fail records a failure. The wait is random, from half of the doubled interval
// to all of it.
func (b *Backoff) Fail(now time.Time, rng *rand.Rand) {
	d := backoffMax
	if b.failures < 10 {
		d = min(backoffStart<<b.failures, backoffMax)
	}
	b.failures++
	b.until = now.Add(d/2 + time.Duration(rng.Int64N(int64(d/2))))
}

// Succeed clears the recorded failures.
func (b *Backoff) Succeed() { *b = Backoff{} }

// Wait returns the time until the next attempt, or zero if it may be made now.
func (b *Backoff) Wait(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }
