package burn

import "time"

// Level is one resolution at which requests are counted over time. Each request
// is counted at every level.
type Level struct {
	// Width is the interval that a bucket covers.
	Width time.Duration
	// Buckets is the number of buckets kept.
	Buckets int
}

// Levels are the resolutions, finest first. Each covers one bucket less than it
// keeps, since the interval of the newest bucket has not ended.
var Levels = [...]Level{
	{Width: time.Minute, Buckets: 61},
	{Width: 10 * time.Minute, Buckets: 37},
	{Width: time.Hour, Buckets: 73},
	{Width: 24 * time.Hour, Buckets: 91},
}

// maxWindow returns the longest window that the level covers.
func (l Level) maxWindow() time.Duration {
	return time.Duration(l.Buckets-1) * l.Width
}

// epoch returns the number of the bucket that holds the time.
func (l Level) epoch(t time.Time) int64 {
	return t.UnixNano() / int64(l.Width)
}

// finestLevel returns the index of the finest level that covers the window, or of
// the coarsest level if none does.
func finestLevel(window time.Duration) int {
	for i, l := range Levels {
		if l.maxWindow() >= window {
			return i
		}
	}
	return len(Levels) - 1
}

// bucket counts the requests of one interval.
type bucket struct {
	// epoch is the number of the interval, counted in widths since 1970.
	epoch int64
	tally tally
}

// series holds the buckets of one service at one level, as a ring.
type series []bucket

// add counts a request. If the clock went back and the request's bucket has been
// reused for a later interval, the request is counted there.
func (s series) add(epoch int64, cause Cause) {
	b := &s[int(epoch%int64(len(s)))]
	if b.epoch < epoch {
		*b = bucket{epoch: epoch}
	}
	b.tally.add(cause)
}
