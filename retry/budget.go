package retry

import "time"

const (
	// window is the time over which the ratio of retries to requests counts.
	window = 10 * time.Second
	// buckets is the number of parts into which the window is cut.
	buckets = 100
	// bucketWidth is the time that one part covers.
	bucketWidth = window / buckets
)

// Config holds the settings of a Budget.
type Config struct {
	// Share is the number of second attempts allowed for each request, over a
	// moving window of 10 s. A larger share hides more faults of single
	// targets and adds more load when all targets fail.
	Share float64
	// MinPerWindow is the number of second attempts allowed in each window whatever
	// the number of requests, so that a quiet service can retry at all.
	MinPerWindow int
}

// bucket counts what happened during one part of the window.
type bucket struct {
	// part is its number since the first call, in units of bucketWidth.
	part     int64
	requests int
	retries  int
	// lastRetry is when the latest of the retries was granted.
	lastRetry time.Time
}

// Budget is the retry budget of one service. It is not safe for concurrent
// use: its owner calls it from one goroutine and passes the time in.
type Budget struct {
	cfg Config
	// origin is the time of the first call: parts are numbered from there by the
	// steady clock, since the time of day may jump.
	origin time.Time
	// ring has one part more than the window: the oldest has left it only in part.
	ring [buckets + 1]bucket
}

// NewBudget returns a full budget.
func NewBudget(cfg Config) *Budget {
	return &Budget{cfg: cfg}
}

// SetConfig replaces the settings; the counts of the window are kept.
func (b *Budget) SetConfig(cfg Config) {
	b.cfg = cfg
}

// Request counts one request of a caller; second attempts are not counted.
func (b *Budget) Request(now time.Time) {
	b.bucket(now).requests++
}

// Take asks for one second attempt, a retry or a hedge. Queued says that work
// of the service waits for a slot: a second attempt would then take the place
// of a first one, so the budget is empty. Take reports whether the attempt is
// granted; if so it is counted.
func (b *Budget) Take(now time.Time, queued bool) bool {
	if queued || b.Left(now) < 1 {
		return false
	}
	bk := b.bucket(now)
	bk.retries++
	bk.lastRetry = now
	return true
}

// Left returns the number of second attempts that would be granted now if no
// work waited.
func (b *Budget) Left(now time.Time) int {
	requests, retries := b.sum(now)
	return b.cfg.MinPerWindow + int(b.cfg.Share*float64(requests)) - retries
}

// sum adds up the requests and second attempts within the window. Of a part that
// has left it in part, the requests count no more, and the second attempts until
// the latest of them is older than the window.
func (b *Budget) sum(now time.Time) (requests, retries int) {
	current := b.part(now)
	for _, bk := range b.ring {
		if current-bk.part < buckets {
			requests += bk.requests
		}
		if now.Sub(bk.lastRetry) < window {
			retries += bk.retries
		}
	}
	return requests, retries
}

// part returns the number of the part of the time that now falls into.
func (b *Budget) part(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	return int64(now.Sub(b.origin) / bucketWidth)
}

// bucket returns the part of the window that now falls into, emptied if it
// last served an earlier round.
func (b *Budget) bucket(now time.Time) *bucket {
	part := b.part(now)
	bk := &b.ring[part%int64(len(b.ring))]
	if bk.part != part {
		*bk = bucket{part: part}
	}
	return bk
}
