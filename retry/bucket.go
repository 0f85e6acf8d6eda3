package retry

import "time"

// Tokens is an amount of tokens, in millionths of one.
type Tokens int64

// Token is the amount that one second attempt takes.
const Token Tokens = 1_000_000

// bucketParts is the number of parts into which a token's life is cut; a token
// expires with the oldest of its part.
const bucketParts = 20

// Bucket holds the tokens of one service until they are taken or expire. It is
// not safe for concurrent use.
type Bucket struct {
	width time.Duration
	// origin is the time of the first call: parts are numbered from there by the
	// steady clock, since the time of day may jump.
	origin time.Time
	ring   [bucketParts]batch
}

// batch holds the tokens that were issued in one part of the time.
type batch struct {
	part   int64
	tokens Tokens
}

// NewBucket returns an empty Bucket of tokens with the given life.
func NewBucket(life time.Duration) *Bucket {
	return &Bucket{width: max(life/bucketParts, 1)}
}

// Add takes a Deposit that was issued some time ago.
func (b *Bucket) Add(now time.Time, d Deposit, age time.Duration) {
	current := b.part(now)
	part := b.part(now.Add(-age))
	b.put(current, part, d.Earned)
	// What accrued over a time is as old as if it had come evenly.
	for over := d.Over; over > 0 && current-part < bucketParts; over -= b.width {
		part--
		share := float64(min(over, b.width)) / float64(d.Over)
		b.put(current, part, Tokens(share*float64(d.Accrued)))
	}
}

// put adds tokens to a part, unless they have expired.
func (b *Bucket) put(current, part int64, tokens Tokens) {
	if current-part < bucketParts {
		b.batch(part).tokens += tokens
	}
}

// Take takes one token, the oldest first. It reports whether there was one.
func (b *Bucket) Take(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	current := b.part(now)
	need := Token
	for part := current - bucketParts + 1; part <= current && need > 0; part++ {
		bt := b.batch(part)
		taken := min(need, bt.tokens)
		bt.tokens -= taken
		need -= taken
	}
	return true
}

// Left returns the number of second attempts that may be taken now.
func (b *Bucket) Left(now time.Time) int {
	current := b.part(now)
	var sum Tokens
	for _, bt := range b.ring {
		if current-bt.part < bucketParts {
			sum += bt.tokens
		}
	}
	return int(sum / Token)
}

// Clear drops all tokens.
func (b *Bucket) Clear() { b.ring = [bucketParts]batch{} }

// part returns the number of the part of the time that a time falls into. The
// first call is at bucketParts, so that the life before it has numbers; all that
// was earlier has 0.
func (b *Bucket) part(at time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = at
	}
	return int64(max(at.Sub(b.origin)+b.life(), 0) / b.width)
}

func (b *Bucket) life() time.Duration { return b.width * bucketParts }

// batch returns a part of the time, emptied if it last served an earlier round.
func (b *Bucket) batch(part int64) *batch {
	bt := &b.ring[part%bucketParts]
	if bt.part != part {
		*bt = batch{part: part}
	}
	return bt
}
