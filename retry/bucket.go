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

// Add takes a Deposit that was issued just now.
func (b *Bucket) Add(now time.Time, d Deposit) {
	current := b.part(now)
	b.batch(current).tokens += d.Earned
	// What accrued over a time is as old as if it had come evenly.
	for over, age := d.Over, int64(1); over > 0 && age < bucketParts; over, age = over-b.width, age+1 {
		share := float64(min(over, b.width)) / float64(d.Over)
		b.batch(current - age).tokens += Tokens(share * float64(d.Accrued))
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

// part returns the number of the part of the time that now falls into. None is
// less than bucketParts, so that a life before the first call has a number.
func (b *Bucket) part(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	return bucketParts + int64(now.Sub(b.origin)/b.width)
}

// batch returns a part of the time, emptied if it last served an earlier round.
func (b *Bucket) batch(part int64) *batch {
	bt := &b.ring[part%bucketParts]
	if bt.part != part {
		*bt = batch{part: part}
	}
	return bt
}
