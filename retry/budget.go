package retry

import "time"

const (
	// window is the length of the moving window in which requests and second
	// attempts are counted.
	window = 10 * time.Second
	// windowIntervals is the number of intervals into which the window is divided.
	windowIntervals = 100
	// intervalWidth is the length of one interval.
	intervalWidth = window / windowIntervals
)

// Config holds the settings of a Budget.
type Config struct {
	// Share is the number of second attempts allowed for each request, over a
	// moving window of 10 s. A larger share hides more faults of single
	// targets and adds more load when all targets fail.
	Share float64
	// MinPerWindow is the number of second attempts allowed in each window
	// regardless of the number of requests, so that a service with little traffic
	// can retry.
	MinPerWindow int
}

// counts holds the requests and second attempts of one interval.
type counts struct {
	// interval is the number of the interval, counted from the first call.
	interval int64
	requests int
	retries  int
	// lastRetry is when the latest of the retries was granted.
	lastRetry time.Time
}

// Budget is the retry budget of one service. It is not safe for concurrent
// use: its owner calls it from one goroutine and passes the time in.
type Budget struct {
	cfg Config
	// origin is the time of the first call. Intervals are numbered from it by the
	// monotonic clock, since the wall clock may jump.
	origin time.Time
	// ring has one interval more than the window, because only a part of the
	// oldest interval is outside of the window.
	ring [windowIntervals + 1]counts
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
	b.countsAt(now).requests++
}

// Take asks for one second attempt, a retry or a hedged request. It reports
// whether the attempt is granted; a granted attempt is counted. Queued is set if
// requests of the service wait for a slot. No attempt is granted then, since it
// would displace a first attempt.
func (b *Budget) Take(now time.Time, queued bool) bool {
	if queued || b.Left(now) < 1 {
		return false
	}
	c := b.countsAt(now)
	c.retries++
	c.lastRetry = now
	return true
}

// Left returns the number of second attempts that would be granted now if no
// requests were queued.
func (b *Budget) Left(now time.Time) int {
	requests, retries := b.sum(now)
	return b.cfg.MinPerWindow + int(b.cfg.Share*float64(requests)) - retries
}

// sum adds up the requests and second attempts within the window. Of the interval
// that is only partly within the window, the requests no longer count. Its second
// attempts count until the latest of them is older than the window.
func (b *Budget) sum(now time.Time) (requests, retries int) {
	current := b.intervalAt(now)
	for _, c := range b.ring {
		if current-c.interval < windowIntervals {
			requests += c.requests
		}
		if now.Sub(c.lastRetry) < window {
			retries += c.retries
		}
	}
	return requests, retries
}

// intervalAt returns the number of the interval that contains now.
func (b *Budget) intervalAt(now time.Time) int64 {
	if b.origin.IsZero() {
		b.origin = now
	}
	return int64(now.Sub(b.origin) / intervalWidth)
}

// countsAt returns the counts of the interval that contains now. It resets them
// if the ring entry still belongs to an earlier interval.
func (b *Budget) countsAt(now time.Time) *counts {
	interval := b.intervalAt(now)
	c := &b.ring[interval%int64(len(b.ring))]
	if c.interval != interval {
		*c = counts{interval: interval}
	}
	return c
}
