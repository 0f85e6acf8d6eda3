package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"filbertmill.example/testbed/backend"
)

// The bounds of what counts as lost.
const (
	// graceTime is how long after SIGTERM a node is killed.
	graceTime = 6 * time.Second
	// lateWork is the time after SIGTERM from which on the work of a target may be
	// broken off, the last sixth of the grace, if its request was sent before
	// lateSent.
	lateWork = graceTime * 5 / 6
	lateSent = 3 * time.Second
	// lostSlack is how long after a request's last byte its connection may still
	// end if no target had it.
	lostSlack = 200 * time.Millisecond
	// configuredExcess is how many times more often than at other times requests
	// must be cut beside a configuration to count, and configuredUse the share of
	// its time after which a request does not.
	configuredExcess = 3
	configuredUse    = 0.7
)

// checkLost reports requests whose connection a node ended without a whole answer,
// or at whose target at work it answered itself after a SIGTERM.
func checkLost(h *history) []breach {
	reached := h.reached()
	configured := h.excessBesideConfigurations()
	var broken []breach
	for _, c := range h.calls {
		if why := h.loss(c, reached[c.id]).why(configured[c.node]); why != "" {
			broken = append(broken, breach{c.lost(), fmt.Sprintf("%s sent to %s: %s", c.id, c.node, why), c.id})
		}
	}
	return broken
}

// loss is a request that may have been lost.
type loss struct {
	h        *history
	call     call
	arrivals []backend.Arrival
	// stopped is when the node's process got SIGTERM, if it is stopping.
	stopped  time.Time
	stopping bool
}

func (h *history) loss(c call, arrivals []backend.Arrival) loss {
	l := loss{h: h, call: c, arrivals: arrivals}
	l.stopped, l.stopping = h.stopOf(c.node, c.life)
	return l
}

// reached returns the arrivals of each request.
func (h *history) reached() map[string][]backend.Arrival {
	all := make(map[string][]backend.Arrival)
	for _, a := range h.arrivals {
		all[a.Request] = append(all[a.Request], a)
	}
	return all
}

// why says why a request counts as lost; empty if it does not.
func (l loss) why(configured bool) string {
	c := l.call
	switch {
	case c.whole.IsZero(), l.h.touchedWithin(c.node, c.sent.Add(-contactTime), l.last()), l.excused():
		return ""
	case c.cut() && len(l.arrivals) > 0:
		if l.sound() {
			return fmt.Sprintf("%s had it and the connection ended %s after its last byte", l.arrivals[len(l.arrivals)-1].Target, c.ended.Sub(c.whole).Round(time.Millisecond))
		}
	case c.cut() && !l.unread() && l.besidePlanned(configured):
		return fmt.Sprintf("no target had it and the connection ended %s after its last byte", c.ended.Sub(c.whole).Round(time.Millisecond))
	case l.replaced():
		return fmt.Sprintf("%s was at work and it was answered %d", l.arrivals[len(l.arrivals)-1].Target, c.status)
	}
	return ""
}

// last returns the last moment at which the request may have ended.
func (l loss) last() time.Time {
	if l.call.noticed.After(l.call.ended) {
		return l.call.noticed
	}
	return l.call.ended
}

// excused says whether the end of a request is none of the node's doing.
func (l loss) excused() bool {
	c := l.call
	limit := c.patience
	if c.route == "slow" {
		limit = min(limit, slices.Min(slowTimeouts))
	} else {
		limit = min(limit, patience)
	}
	if c.ended.Sub(c.whole) >= limit {
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

// unread says whether a request without arrivals may not have been read: it
// crossed the end of its connection, or stood behind another.
func (l loss) unread() bool {
	c := l.call
	return len(l.arrivals) == 0 && (c.behind || c.whole.IsZero() || !c.ended.After(c.whole.Add(lostSlack)))
}

// workedLate says whether a target was still at work when the node had to end.
func (l loss) workedLate() bool {
	return l.stopping && l.call.sent.Before(l.stopped.Add(lateSent)) && slices.ContainsFunc(l.arrivals, func(a backend.Arrival) bool {
		return a.End == backend.InProgress || a.Ended.After(l.stopped.Add(lateWork))
	})
}

// sound says whether a target that no fault touched had the request.
func (l loss) sound() bool {
	return slices.ContainsFunc(l.arrivals, func(a backend.Arrival) bool {
		return !l.h.touchedWithin(a.Target, l.call.sent.Add(-contactTime), l.last())
	})
}

// besidePlanned says whether the request ended beside planned work on its node.
func (l loss) besidePlanned(configured bool) bool {
	c := l.call
	return slices.ContainsFunc(l.h.planned, func(s span) bool {
		own := s.node == c.node && s.life == c.life
		switch s.kind {
		case reloadNode:
			return own && c.sent.Before(s.to) && c.ended.After(s.from)
		case configure:
			return configured && l.h.besideConfiguration(c)
		}
		return own && c.ended.After(s.from) && c.ended.Before(s.to)
	})
}

// replaced says whether a stopping node broke off a target at work and answered
// in its place.
func (l loss) replaced() bool {
	c := l.call
	if !l.stopping || !c.own || c.status < http.StatusInternalServerError || len(l.arrivals) == 0 || c.ended.Before(l.stopped) {
		return false
	}
	last := l.arrivals[len(l.arrivals)-1]
	return last.End == backend.CallerLeft && last.Ended.After(l.stopped) && l.sound()
}

// stopOf returns when a process got SIGTERM.
func (h *history) stopOf(node string, life int) (time.Time, bool) {
	i := slices.IndexFunc(h.planned, func(s span) bool { return s.kind == stopNode && s.node == node && s.life == life })
	if i < 0 {
		return time.Time{}, false
	}
	return h.planned[i].from, true
}

// besideConfiguration says whether a request ended beside a configuration that
// may have been coming into force, well within its time.
func (h *history) besideConfiguration(c call) bool {
	return float64(c.ended.Sub(c.sent)) < configuredUse*float64(c.patience) &&
		slices.ContainsFunc(h.planned, func(s span) bool { return s.kind == configure && c.sent.Before(s.to) && c.ended.After(s.from) })
}

// excessBesideConfigurations tells which nodes cut requests much more often beside
// configurations than at other times.
func (h *history) excessBesideConfigurations() map[string]bool {
	type count struct{ cut, all float64 }
	beside, other := make(map[string]count), make(map[string]count)
	for _, c := range h.calls {
		where := other
		if h.besideConfiguration(c) {
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
		excess[node] = b.cut*max(o.all, 1) > configuredExcess*o.cut*b.all
	}
	return excess
}

// checkGrace reports nodes that had to be killed at the end of their grace.
func checkGrace(h *history) []breach {
	var broken []breach
	for _, m := range h.overruns {
		if !h.touchedWithin(m.who, m.at.Add(-graceTime-contactTime), m.at) {
			broken = append(broken, breach{promiseGrace, fmt.Sprintf("%s still ran %s after SIGTERM", m.who, graceTime), ""})
		}
	}
	return broken
}
