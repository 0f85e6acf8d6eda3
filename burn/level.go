package burn

import "time"

// Level is one resolution in which requests are counted over time. Each
// request is counted at every level.
type Level struct {
	// Width is the length of a bucket.
	Width time.Duration
	// Buckets is the number of buckets kept.
	Buckets int
}

// Levels are the resolutions, finest first. Each reaches back by one bucket
// less than it keeps, since the newest bucket is not yet full.
var Levels = [...]Level{
	{Width: time.Minute, Buckets: 61},
	{Width: 10 * time.Minute, Buckets: 37},
	{Width: time.Hour, Buckets: 73},
	{Width: 24 * time.Hour, Buckets: 91},
}

// reach returns the longest window that the level can answer.
func (l Level) reach() time.Duration {
	return time.Duration(l.Buckets-1) * l.Width
}

// epoch returns the number of the bucket that holds the time.
func (l Level) epoch(t time.Time) int64 {
	return t.UnixNano() / int64(l.Width)
}

// levelOf returns the index of the finest level that reaches over the window.
func levelOf(window time.Duration) int {
	for i, l := range Levels {
		if l.reach() >= window {
			return i
		}
	}
	return len(Levels) - 1
}

// bucket counts the requests of one stretch of time.
type bucket struct {
	epoch int64
	tally tally
}

// series holds the buckets of one service at one level in a ring.
type series []bucket

// add counts a request. If the clock went back behind a reused bucket, the
// request counts into the later one.
func (s series) add(epoch int64, cause Cause) {
	b := &s[int(epoch%int64(len(s)))]
	if b.epoch < epoch {
		*b = bucket{epoch: epoch}
	}
	b.tally.add(cause)
}
