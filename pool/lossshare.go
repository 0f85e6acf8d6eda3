package pool

import (
	"math"
	"time"
)

const (
	// lossWindow is the time over which the floor counts lost requests.
	lossWindow = 2 * time.Second
	// lossParts is the number of parts of the window that are counted separately. One
	// more is kept, so that the window is always covered.
	lossParts = 20
	// lossPriorRequests is a number of requests without a loss that is always
	// counted, so that the first losses of a quiet service do not make a large share.
	lossPriorRequests = 2
	// The share of lost requests counts as much above usualLossShare plus
	// lossDeviation divided by the square root of the number of requests, by which it
	// varies, and in any case above muchLossShare. The floor holds from a tenth on, but
	// of the requests of some hosts only, which may lose more than the others.
	usualLossShare = 0.05
	lossDeviation  = 0.3
	muchLossShare  = 0.08
	// refusedLossShare is the share of the requests that were lost or that nodes refused
	// from which on it counts as much. The floor holds from a tenth on; reacting that
	// early costs more requests than it saves.
	refusedLossShare = 0.14
)

// lossShare is the share of the requests of the last lossWindow that were lost. It
// covers the same time at any rate of requests: over a number of requests instead,
// chance alone would make the share of a busy service exceed any limit now and then.
type lossShare struct {
	// origin is when the first request ended.
	origin time.Time
	parts  [lossParts + 1]lossPart
}

// lossPart has the requests that ended in one part of the window.
type lossPart struct {
	number         int64
	requests, lost int
	// refused is the number of further requests that nodes refused by themselves.
	refused int
}

// partNumber returns the number of the part that contains a time. The first is
// above lossParts, so that no number is that of an empty part.
func (l *lossShare) partNumber(at time.Time) int64 {
	return lossParts + 1 + int64(at.Sub(l.origin)/(lossWindow/lossParts))
}

// add counts a request that has ended.
func (l *lossShare) add(now time.Time, lost bool) {
	p := l.part(now)
	p.requests++
	if lost {
		p.lost++
	}
}

// addRefused counts requests that nodes refused by themselves.
func (l *lossShare) addRefused(now time.Time, n int) { l.part(now).refused += n }

// part returns the part of the window that contains now.
func (l *lossShare) part(now time.Time) *lossPart {
	if l.origin.IsZero() {
		l.origin = now
	}
	n := l.partNumber(now)
	p := &l.parts[n%int64(len(l.parts))]
	if p.number != n {
		*p = lossPart{number: n}
	}
	return p
}

// much reports whether so much is lost that the floor may hold.
func (l *lossShare) much(now time.Time) bool {
	share, requests := l.at(now)
	if share > min(muchLossShare, usualLossShare+lossDeviation/math.Sqrt(requests)) {
		return true
	}
	refused := l.refused(now)
	return refused > 0 && (share*requests+refused)/(requests+refused) > refusedLossShare
}

// refused returns the number of requests of the window that nodes refused by themselves.
func (l *lossShare) refused(now time.Time) float64 {
	oldest, n := l.partNumber(now)-lossParts, 0
	for _, p := range l.parts {
		if p.number >= oldest {
			n += p.refused
		}
	}
	return float64(n)
}

// at returns the share at the given time and the number of requests.
func (l *lossShare) at(now time.Time) (share, requests float64) {
	oldest := l.partNumber(now) - lossParts
	requests = lossPriorRequests
	lost := 0.0
	for _, p := range l.parts {
		if p.number >= oldest {
			requests += float64(p.requests)
			lost += float64(p.lost)
		}
	}
	return lost / requests, requests
}
