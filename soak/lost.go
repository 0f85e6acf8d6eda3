package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"filbertmill.example/testbed/backend"
)

// Limits of what counts as lost.
const (
	// graceTime is how long after SIGTERM a node is killed.
	graceTime = 6 * time.Second
	// After lateWorkAfter from SIGTERM, in the last sixth of the grace period, a
	// node may abort a target's work. That holds only for requests sent within
	// lateWorkSentBefore of SIGTERM.
	lateWorkAfter      = graceTime * 5 / 6
	lateWorkSentBefore = 3 * time.Second
	// unreadSlack is how long after the last byte of a request its connection may
	// end if no target received it. The node may not have read it by then.
	unreadSlack = 200 * time.Millisecond
	// configurationExcess is the minimum ratio of the share of requests cut around
	// configurations to that at other times, for such cuts to count.
	// configurationTimeoutShare is the share of a request's timeout after which its
	// end is not attributed to a configuration.
	configurationExcess       = 3
	configurationTimeoutShare = 0.7
)

// checkLost reports requests whose connection a node ended without a complete
// answer. It also reports those that a node answered itself after SIGTERM although a
// target was still processing them.
func checkLost(h *history) []breach {
	arrivals := h.arrivalsByRequest()
	excessCuts := h.excessCutsDuringConfigurations()
	var broken []breach
	for _, c := range h.calls {
		if reason := h.loss(c, arrivals[c.id]).reason(excessCuts[c.node]); reason != "" {
			broken = append(broken, breach{c.lostPromise(), fmt.Sprintf("%s sent to %s: %s", c.id, c.node, reason), c.id})
		}
	}
	return broken
}

// loss is a request that may have been lost.
type loss struct {
	h        *history
	call     call
	arrivals []backend.Arrival
	// stopped is when the node's process got SIGTERM, and stopping is set if it did.
	stopped  time.Time
	stopping bool
}

func (h *history) loss(c call, arrivals []backend.Arrival) loss {
	l := loss{h: h, call: c, arrivals: arrivals}
	l.stopped, l.stopping = h.sigtermAt(c.node, c.life)
	return l
}

// arrivalsByRequest returns the arrivals of each request at targets.
func (h *history) arrivalsByRequest() map[string][]backend.Arrival {
	all := make(map[string][]backend.Arrival)
	for _, a := range h.arrivals {
		all[a.Request] = append(all[a.Request], a)
	}
	return all
}

// reason returns why a request counts as lost, empty if it does not. excessCuts is
// set if the node cuts requests more often around configurations.
func (l loss) reason(excessCuts bool) string {
	c := l.call
	switch {
	case c.fullySent.IsZero(), l.h.unplannedFaultOf(c.node, c.sent.Add(-faultEffectTime), l.latestEnd()), l.excused():
		return ""
	case c.cut() && len(l.arrivals) > 0:
		if l.reachedHealthyTarget() {
			return fmt.Sprintf("%s received it, and the connection ended %s after its last byte was sent", l.arrivals[len(l.arrivals)-1].Target, c.ended.Sub(c.fullySent).Round(time.Millisecond))
		}
	case c.cut() && !l.maybeUnread() && l.duringPlannedWork(excessCuts):
		return fmt.Sprintf("no target received it, and the connection ended %s after its last byte was sent", c.ended.Sub(c.fullySent).Round(time.Millisecond))
	case l.answerReplaced():
		return fmt.Sprintf("%s was still processing it when the node answered %d", l.arrivals[len(l.arrivals)-1].Target, c.status)
	}
	return ""
}

// latestEnd returns the latest time at which the request may have ended.
func (l loss) latestEnd() time.Time {
	if l.call.endObserved.After(l.call.ended) {
		return l.call.endObserved
	}
	return l.call.ended
}

// excused reports whether the node is not to blame for how a request ended: its time
// was up, the target aborted the connection, or the target worked for too long after
// SIGTERM.
func (l loss) excused() bool {
	c := l.call
	limit := c.timeout
	if c.route == "slow" {
		limit = min(limit, slices.Min(slowTimeouts))
	} else {
		limit = min(limit, callerTimeout)
	}
	if c.ended.Sub(c.fullySent) >= limit {
		return true
	}
	if len(l.arrivals) == 0 {
		return false
	}
	last := l.arrivals[len(l.arrivals)-1]
	if last.End == backend.TargetClosed {
		return true
	}
	return l.workedLate()
}

// maybeUnread reports whether the node may not have read a request without arrivals.
// Such a request was pipelined, was not fully sent, or was sent just before the
// connection ended.
func (l loss) maybeUnread() bool {
	c := l.call
	return len(l.arrivals) == 0 && (c.pipelined || c.fullySent.IsZero() || !c.ended.After(c.fullySent.Add(unreadSlack)))
}

// workedLate reports whether a target was still processing the request when the node
// had to end.
func (l loss) workedLate() bool {
	return l.stopping && l.call.sent.Before(l.stopped.Add(lateWorkSentBefore)) && slices.ContainsFunc(l.arrivals, func(a backend.Arrival) bool {
		return a.End == backend.InProgress || a.Ended.After(l.stopped.Add(lateWorkAfter))
	})
}

// reachedHealthyTarget reports whether the request arrived at a target that had no
// fault at that time.
func (l loss) reachedHealthyTarget() bool {
	return slices.ContainsFunc(l.arrivals, func(a backend.Arrival) bool {
		return !l.h.unplannedFaultOf(a.Target, l.call.sent.Add(-faultEffectTime), l.latestEnd())
	})
}

// duringPlannedWork reports whether the request ended during planned work on its
// node. excessCuts is as in reason.
func (l loss) duringPlannedWork(excessCuts bool) bool {
	c := l.call
	return slices.ContainsFunc(l.h.planned, func(s plannedWork) bool {
		own := s.node == c.node && s.life == c.life
		switch s.kind {
		case reloadNode:
			return own && c.sent.Before(s.to) && c.ended.After(s.from)
		case configure:
			return excessCuts && l.h.duringConfiguration(c)
		}
		return own && c.ended.After(s.from) && c.ended.Before(s.to)
	})
}

// answerReplaced reports whether a stopping node aborted a request that a target was
// processing, and answered in place of the target.
func (l loss) answerReplaced() bool {
	c := l.call
	if !l.stopping || !c.fromNode || c.status < http.StatusInternalServerError || len(l.arrivals) == 0 || c.ended.Before(l.stopped) {
		return false
	}
	last := l.arrivals[len(l.arrivals)-1]
	return last.End == backend.CallerLeft && last.Ended.After(l.stopped) && l.reachedHealthyTarget()
}

// sigtermAt returns when a process got SIGTERM. It reports false if it did not.
func (h *history) sigtermAt(node string, life int) (time.Time, bool) {
	i := slices.IndexFunc(h.planned, func(s plannedWork) bool { return s.kind == stopNode && s.node == node && s.life == life })
	if i < 0 {
		return time.Time{}, false
	}
	return h.planned[i].from, true
}

// duringConfiguration reports whether a request ended well within its timeout while
// a configuration may have been coming into force.
func (h *history) duringConfiguration(c call) bool {
	return float64(c.ended.Sub(c.sent)) < configurationTimeoutShare*float64(c.timeout) &&
		slices.ContainsFunc(h.planned, func(s plannedWork) bool { return s.kind == configure && c.sent.Before(s.to) && c.ended.After(s.from) })
}

// excessCutsDuringConfigurations reports, by node, whether the node cuts requests
// much more often around configurations than at other times.
func (h *history) excessCutsDuringConfigurations() map[string]bool {
	type count struct{ cut, all float64 }
	beside, other := make(map[string]count), make(map[string]count)
	for _, c := range h.calls {
		where := other
		if h.duringConfiguration(c) {
			where = beside
		}
		n := where[c.node]
		n.all++
		if c.cut() {
			n.cut++
		}
		where[c.node] = n
	}
	excess := make(map[string]bool)
	for node, b := range beside {
		o := other[node]
		excess[node] = b.cut*max(o.all, 1) > configurationExcess*o.cut*b.all
	}
	return excess
}

// checkGrace reports nodes that had to be killed at the end of their grace period.
func checkGrace(h *history) []breach {
	var broken []breach
	for _, m := range h.overruns {
		if !h.unplannedFaultOf(m.subject, m.at.Add(-graceTime-faultEffectTime), m.at) {
			broken = append(broken, breach{promiseGrace, fmt.Sprintf("%s still ran %s after SIGTERM", m.subject, graceTime), ""})
		}
	}
	return broken
}
