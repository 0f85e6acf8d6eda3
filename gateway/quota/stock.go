package quota

import (
	"math"
	"time"
)

const (
	// spareTime is the time for which a node asks for admissions ahead, by the rate of a
	// workspace's requests, and admissionLife the time for which it keeps them.
	spareTime     = 100 * time.Millisecond
	admissionLife = 300 * time.Millisecond
	// rateTime is the time over which the rate of a workspace's requests is averaged.
	rateTime = time.Second
)

// stock holds the admissions of one workspace that a node has got ahead of time or that
// were given back, until they expire. It is not safe for concurrent use.
type stock struct {
	// expiries are when the admissions expire, the next one first.
	expiries []time.Time
	// unused is the number of admissions that the home is to be told of as not used.
	unused int
	// recent is the moving number of requests in rateTime, as of lastRequest.
	recent      float64
	lastRequest time.Time
	// waiting holds the requests that wait for the home's answer. asking is set while the
	// home is asked.
	waiting []waiter
	asking  bool
}

// waiter is a request that waits for its admission since a time.
type waiter struct {
	decided chan decision
	since   time.Time
}

// countRequest counts a request for the rate.
func (s *stock) countRequest(now time.Time) {
	s.recent = s.recent*math.Exp(-now.Sub(s.lastRequest).Seconds()/rateTime.Seconds()) + 1
	s.lastRequest = now
}

// spare returns how many requests are expected within spareTime.
func (s *stock) spare() int { return int(s.recent * spareTime.Seconds() / rateTime.Seconds()) }

// take takes an admission. It reports when the admission expires, and whether there was
// one.
func (s *stock) take(now time.Time) (expires time.Time, ok bool) {
	for len(s.expiries) > 0 {
		expires, s.expiries = s.expiries[0], s.expiries[1:]
		if expires.After(now) {
			return expires, true
		}
		s.unused++
	}
	return time.Time{}, false
}

// add adds admissions that a home has just given.
func (s *stock) add(now time.Time, n int) {
	for range n {
		s.expiries = append(s.expiries, now.Add(admissionLife))
	}
}

// giveBack puts back an admission that was not used.
func (s *stock) giveBack(now, expires time.Time) {
	if !expires.After(now) {
		s.unused++
		return
	}
	at := 0
	for at < len(s.expiries) && s.expiries[at].Before(expires) {
		at++
	}
	s.expiries = append(s.expiries, time.Time{})
	copy(s.expiries[at+1:], s.expiries[at:])
	s.expiries[at] = expires
}

// idle reports whether the stock can be forgotten.
func (s *stock) idle(now time.Time) bool {
	return !s.asking && len(s.waiting) == 0 && now.Sub(s.lastRequest) > accountIdleTime
}
