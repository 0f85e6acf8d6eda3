package pool

import (
	"slices"
	"time"
)

const (
	// hasteWindow is the number of latest requests whose spare time counts.
	hasteWindow = 128
	// hasteRefresh is the number of requests between two looks at them.
	hasteRefresh = 16
	// hasteShare is the share of requests that may be in more of a hurry than
	// the queue allows for.
	hasteShare = 0.1
)

// haste learns how long the callers in most of a hurry can wait, so that the
// patient ones do not make the queue too long for them.
type haste struct {
	spares []time.Duration
	next   int
	count  int
	// spare is the quantile hasteShare of the spare times, once known.
	spare time.Duration
}

// saw notes the time that a request has beyond its service time.
func (h *haste) saw(spare time.Duration) {
	if len(h.spares) < hasteWindow {
		h.spares = append(h.spares, spare)
	} else {
		h.spares[h.next] = spare
		h.next = (h.next + 1) % hasteWindow
	}
	h.count++
	if h.count%hasteRefresh == 0 {
		sorted := slices.Clone(h.spares)
		slices.Sort(sorted)
		h.spare = sorted[int(hasteShare*float64(len(sorted)))]
	}
}

// bound returns the spare time to reckon with for a request that has the given
// one.
func (h *haste) bound(spare time.Duration) time.Duration {
	if h.spare <= 0 {
		return spare
	}
	return min(spare, h.spare)
}
