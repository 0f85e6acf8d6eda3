package pool

import (
	"slices"
	"time"
)

const (
	// hasteWindow is the number of latest requests whose spare time counts.
	slackWindow = 128
	// hasteRefresh is the number of requests between two looks at them.
	slackRefresh = 16
	// hasteShare is the share of requests that may be in more of a hurry than
	// the queue allows for.
	tightShare = 0.1
)

// haste learns how long the callers in most of a hurry can wait, so that the
// patient ones do not make the queue too long for them.
type tightSlack struct {
	slacks []time.Duration
	next   int
	count  int
	// spare is the quantile hasteShare of the spare times, once known.
	tight time.Duration
}

// saw notes the time that a request has beyond its service time.
func (h *tightSlack) add(spare time.Duration) {
	if len(h.slacks) < slackWindow {
		h.slacks = append(h.slacks, spare)
	} else {
		h.slacks[h.next] = spare
		h.next = (h.next + 1) % slackWindow
	}
	h.count++
	if h.count%slackRefresh == 0 {
		sorted := slices.Clone(h.slacks)
		slices.Sort(sorted)
		h.tight = sorted[int(tightShare*float64(len(sorted)))]
	}
}

// bound returns the spare time to reckon with for a request that has the given
// one.
func (h *tightSlack) clamp(spare time.Duration) time.Duration {
	if h.tight <= 0 {
		return spare
	}
	return min(spare, h.tight)
}
