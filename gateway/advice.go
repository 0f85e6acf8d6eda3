package gateway

import (
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/homes"
	"filbertmill.example/gateway/limits"
	"filbertmill.example/platform"
	"filbertmill.example/retry"
)

// adviceLogInterval is the interval between lines about unusable advice after the
// first ones. A faulty target may give it in each answer.
const adviceLogInterval = 10 * time.Second

// The kinds of advice, as counted.
const (
	adviceLimit    = "limit"
	adviceLeaving  = "leaving"
	advicePause    = "pause"
	adviceUnusable = "unusable"
)

// readAdvice sets the advice of an attempt that was answered. An answer that another
// target gave, or with unusable values, tells nothing about the target.
func (n *Node) readAdvice(res *attemptResult, t platform.Target, h *protocol.ResponseHeader) {
	if h.StatusCode() == platform.StatusMisdirected {
		return
	}
	var err error
	if res.advice, err = platform.ReadAdvice(h.StatusCode(), h); err != nil {
		n.stats.advice.Add(adviceUnusable, 1)
		n.adviceLog.Do(func() { n.log.Warn("advice of a target ignored", "target", t.ID, "error", err) })
		return
	}
	res.adviceKnown = true
}

// hear records what a target stated in the answer to an attempt that began at a time,
// and adds it to the report to the home.
func (n *Node) hear(a balance.Attempt, d homes.Decision, start time.Time, res *attemptResult, report *balance.Report) {
	if !res.adviceKnown {
		return
	}
	if res.advice.Pause > 0 {
		n.pauses.add(time.Now(), d.Target, res.advice.Pause)
	}
	stated := limits.Statement{Limited: res.advice.Limited, Rate: retry.Rate(res.advice.RateLimit), Leaving: res.advice.Leaving}
	if n.homes.Hear(a, d, start, stated) {
		report.Stated = &stated
	}
}

// targetPauses contains the targets that want no requests from this host for a time. It
// is safe for concurrent use.
type targetPauses struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newTargetPauses() *targetPauses { return &targetPauses{until: make(map[string]time.Time)} }

// add records that a target wants no requests for a time. It never shortens a pause.
func (p *targetPauses) add(now time.Time, target string, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until := now.Add(pause); until.After(p.until[target]) {
		p.until[target] = until
	}
}

// paused reports whether a target wants no requests now.
func (p *targetPauses) paused(now time.Time, target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.until[target])
}

// current returns the targets that want no requests now.
func (p *targetPauses) current(now time.Time) []balance.TargetHash {
	p.mu.Lock()
	defer p.mu.Unlock()
	var hashes []balance.TargetHash
	for target, until := range p.until {
		if now.Before(until) {
			hashes = append(hashes, balance.HashTarget(target))
		} else {
			delete(p.until, target)
		}
	}
	return hashes
}

// countAdvice counts the advice of one answer.
func (s *stats) countAdvice(a platform.Advice) {
	if a.Limited {
		s.advice.Add(adviceLimit, 1)
	}
	if a.Leaving {
		s.advice.Add(adviceLeaving, 1)
	}
	if a.Pause > 0 {
		s.advice.Add(advicePause, 1)
	}
}

// adviceFields returns the log fields of the advice in an answer.
func adviceFields(a platform.Advice) []any {
	var fields []any
	if a.Limited {
		fields = append(fields, "target_limit", a.RateLimit)
	}
	if a.Leaving {
		fields = append(fields, "target_leaving", true)
	}
	if a.Pause > 0 {
		fields = append(fields, "target_pause_ms", a.Pause.Milliseconds())
	}
	return fields
}
