package retry

import "time"

// Tokens is an amount of retry tokens, in millionths of a token.
type Tokens int64

// Token is one retry token: the amount that one second attempt takes.
const Token Tokens = 1_000_000

// lifeIntervals is the number of intervals into which the lifetime of a token is
// divided. All tokens of an interval expire together with the oldest of them.
const lifeIntervals = 20

// Bucket holds the tokens of one service until they are taken or expire. It is
// not safe for concurrent use.
type Bucket struct {
	width time.Duration
	// origin is the time of the first call. Intervals are numbered from it by the
	// monotonic clock, since the wall clock may jump.
	origin time.Time
	ring   [lifeIntervals]batch
}

// batch holds the tokens that were issued in one interval.
type batch struct {
	interval int64
	tokens   Tokens
}

// NewBucket returns an empty Bucket for tokens with the given lifetime.
func NewBucket(life time.Duration) *Bucket {
	return &Bucket{width: max(life/lifeIntervals, 1)}
}

// Add adds a Deposit that was issued the given time ago.
func (b *Bucket) Add(now time.Time, d Deposit, age time.Duration) {
	current := b.intervalAt(now)
	interval := b.intervalAt(now.Add(-age))
	b.put(current, interval, d.Earned)
	// Accrued tokens are spread evenly over the period in which they accrued.
	for left := d.Period; left > 0 && current-interval < lifeIntervals; left -= b.width {
		interval--
		share := float64(min(left, b.width)) / float64(d.Period)
		b.put(current, interval, Tokens(share*float64(d.Accrued)))
	}
}

// put adds tokens to an interval, unless they have expired.
func (b *Bucket) put(current, interval int64, tokens Tokens) {
	if current-interval < lifeIntervals {
		b.batch(interval).tokens += tokens
	}
}

// Take takes one token, the oldest first. It reports whether there was one.
func (b *Bucket) Take(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	current := b.intervalAt(now)
	need := Token
	for interval := current - lifeIntervals + 1; interval <= current && need > 0; interval++ {
		bt := b.batch(interval)
		taken := min(need, bt.tokens)
		bt.tokens -= taken
		need -= taken
	}
	return true
}

// Left returns the number of second attempts for which there are tokens now.
func (b *Bucket) Left(now time.Time) int {
	current := b.intervalAt(now)
	var sum Tokens
	for _, bt := range b.ring {
		if current-bt.interval < lifeIntervals {
			sum += bt.tokens
		}
	}
	return int(sum / Token)
}

// Clear drops all tokens.
func (b *Bucket) Clear() { b.ring = [lifeIntervals]batch{} }

// intervalAt returns the number of the interval that contains the given time. The
// first call is in interval lifeIntervals, so that the lifetime before it has
// numbers too. All earlier times are in interval 0.
func (b *Bucket) intervalAt(at time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = at
	}
	return int64(max(at.Sub(b.origin)+b.life(), 0) / b.width)
}

func (b *Bucket) life() time.Duration { return b.width * lifeIntervals }

// batch returns the batch of an interval. It empties the batch if the ring entry
// still belongs to an earlier interval.
func (b *Bucket) batch(interval int64) *batch {
	bt := &b.ring[interval%lifeIntervals]
	if bt.interval != interval {
		*bt = batch{interval: interval}
	}
	return bt
}
