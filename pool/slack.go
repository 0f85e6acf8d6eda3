package pool

import (
	"slices"
	"time"
)

const (
	// slackWindow is the number of latest requests whose slack counts.
	slackWindow = 128
	// slackRefresh is the number of requests between two computations of the quantile.
	slackRefresh = 16
	// tightShare is the share of requests that may have less slack than the queue
	// allows for.
	tightShare = 0.1
)

// tightSlack learns the slack of the requests with the shortest deadlines, so that
// requests with more slack don't make the queue too long for them.
type tightSlack struct {
	slacks []time.Duration
	next   int
	count  int
	// tight is the quantile tightShare of the latest slacks. It is 0 until known.
	tight time.Duration
}

// add records the slack of a request.
func (s *tightSlack) add(slack time.Duration) {
	if len(s.slacks) < slackWindow {
		s.slacks = append(s.slacks, slack)
	} else {
		s.slacks[s.next] = slack
		s.next = (s.next + 1) % slackWindow
	}
	s.count++
	if s.count%slackRefresh == 0 {
		sorted := slices.Clone(s.slacks)
		slices.Sort(sorted)
		s.tight = sorted[int(tightShare*float64(len(sorted)))]
	}
}

// clamp returns the slack to assume for a request with the given one: at most
// that of the requests with the shortest deadlines.
func (s *tightSlack) clamp(slack time.Duration) time.Duration {
	if s.tight <= 0 {
		return slack
	}
	return min(slack, s.tight)
}
