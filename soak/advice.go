package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"filbertmill.example/testbed/backend"
)

// Faults of targets that state in their answers what they accept.
const (
	targetLimits kind = "target_limits"
	targetTells  kind = "target_tells_that_it_leaves"
	targetPauses kind = "target_pauses"
)

// adviceKinds are drawn in runs with advice beside the other kinds, adviceWeight times as
// often.
var adviceKinds = []kind{targetLimits, targetLimits, targetLimits, targetTells, targetPauses}

const adviceWeight = 8

const (
	promiseLimit  = "targets get no more requests than they accept"
	promiseToldBy = "no work for targets that told a node that they leave"
	promisePause  = "no work for targets during the pause that they ask for"
)

const (
	// adviceDuration is added to the duration of these faults: the promises hold from
	// seconds after the first answer.
	adviceDuration = 6 * time.Second
	// adviceNotice is the time from an answer until the host that passed it on acts.
	adviceNotice = 500 * time.Millisecond
	// limitNotice is the time from the first answer with a limit until it must be kept:
	// a target may get limitFactor times what it accepts in limitWindow, and limitExtra.
	limitNotice = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// targetPause is the pause that a target asks for, and pauseExtra the number of
	// requests that may reach it all the same.
	targetPause = 2 * time.Second
	pauseExtra  = 2
)

// rateLimits are the limits that targets state, in requests a second.
var rateLimits = []float64{0, 0.5, 1, 1.1, 2, 0.5, 5}

// targetLimit is a limit that a target stated, with the time for which it did.
type targetLimit struct {
	target   string
	rate     float64
	from, to time.Time
}

// disturbByAdvice has a target state a limit, or that it leaves, or all targets of a
// service ask for pauses.
func (w *world) disturbByAdvice(ctx context.Context, s step) {
	t := w.target(s.index)
	if s.kind != targetPauses {
		w.advise(ctx, s, t)
		return
	}
	var all sync.WaitGroup
	for i := range w.targetCount() {
		if other := w.target(i); other.Service == t.Service {
			all.Go(func() { w.advise(ctx, s, other) })
		}
	}
	all.Wait()
}

// targetCount returns the number of targets.
func (w *world) targetCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.targets)
}

// advise has one target state something.
func (w *world) advise(ctx context.Context, s step, t *target) {
	if !t.replacing.CompareAndSwap(false, true) {
		return // it states something else, or is being replaced
	}
	defer t.replacing.Store(false)
	t.advising.Store(true)
	defer t.advising.Store(false)
	switch s.kind {
	case targetLimits:
		rate := rateLimits[s.index%len(rateLimits)]
		t.Set(backend.Behavior{Work: backendWork, RateLimit: strconv.FormatFloat(rate, 'f', -1, 64)})
		from := time.Now()
		sleep(ctx, s.duration+adviceDuration)
		w.history.recordLimit(targetLimit{t.ID, rate, from, time.Now()})
	case targetTells:
		// Its entry in the store goes on to say that it is ready.
		t.Set(backend.Behavior{Work: backendWork, Leaving: "1"})
		sleep(ctx, s.duration+adviceDuration)
		w.replace(ctx, t)
		return
	case targetPauses:
		t.Set(backend.Behavior{Work: backendWork, RefuseAll: true, Pause: strconv.FormatFloat(targetPause.Seconds(), 'f', -1, 64)})
		sleep(ctx, s.duration)
	}
	t.Set(backend.Behavior{Work: backendWork})
}

// recordLimit records a limit that a target no longer states.
func (h *history) recordLimit(l targetLimit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = append(h.limits, l)
}

// nodeFaults are the faults that excuse a node from what it was told before. Faults of
// its link to the store don't.
var nodeFaults = []kind{killNode, pauseNode, stopNode, killAll, stopBusy, rollNodes, rollDrain, machineStalls}

// undisturbedSince returns when a fault of a node last began or ended before a time.
func (h *history) undisturbedSince(node string, before time.Time) time.Time {
	var last time.Time
	for _, f := range h.faults {
		if (f.subject == "" || f.subject == node) && f.at.Before(before) && f.at.After(last) && slices.Contains(nodeFaults, kind(f.what)) {
			last = f.at
		}
	}
	return last
}

// told returns when a node first passed on an answer of a target that the predicate
// selects, between two times and since its last fault. It is zero if the node did not.
func (h *history) told(node, target string, from, to time.Time, selects func(call) bool) time.Time {
	var first time.Time
	if since := h.undisturbedSince(node, to); since.After(from) {
		from = since
	}
	for _, c := range h.calls {
		if c.node == node && c.target == target && selects(c) && c.ended.After(from) && c.ended.Before(to) && (first.IsZero() || c.ended.Before(first)) {
			first = c.ended
		}
	}
	return first
}

// checkLimits reports targets that got more requests than they accept, from nodes that
// had passed on their limit.
func checkLimits(h *history) []breach {
	var broken []breach
	for _, l := range h.limits {
		var times []time.Time
		request := ""
		for _, a := range h.arrivals {
			if a.Target != l.target || a.At.Before(l.from.Add(adviceNotice)) || a.At.After(l.to) {
				continue
			}
			told := h.told(a.Node, l.target, l.from, a.At.Add(-adviceNotice), func(c call) bool { return c.limited })
			if !told.IsZero() && h.undisturbedSince(a.Node, a.At).Before(told) {
				times = append(times, a.At)
				request = a.Request
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		allowed := limitFactor*l.rate*limitWindow.Seconds() + limitExtra
		for _, start := range times {
			n := countWithin(times, start, limitWindow)
			if start.Add(limitWindow).After(l.from.Add(limitNotice)) && float64(n) > allowed {
				broken = append(broken, breach{promiseLimit, fmt.Sprintf("%s with a limit of %g a second got %d requests in %s, %.0f allowed", l.target, l.rate, n, limitWindow, allowed), request})
				break
			}
		}
	}
	return broken
}

// checkToldLeaving reports requests that were sent to a target by a node to which it had
// stated long before that it leaves.
func checkToldLeaving(h *history) []breach {
	var broken []breach
	sent := make(map[string]time.Time)
	leaving := make(map[string]bool)
	for _, c := range h.calls {
		sent[c.id] = c.sent
		leaving[c.target] = leaving[c.target] || c.leaving
	}
	for _, a := range h.arrivals {
		if !leaving[a.Target] || sent[a.Request].IsZero() {
			continue
		}
		told := h.told(a.Node, a.Target, time.Time{}, a.At, func(c call) bool { return c.leaving })
		if !told.IsZero() && sent[a.Request].After(told.Add(drainBound)) && h.undisturbedSince(a.Node, a.At).Before(told) {
			broken = append(broken, breach{promiseToldBy, fmt.Sprintf("%s reached %s from %s, to which the target had told %s before that it leaves",
				a.Request, a.Target, a.Node, a.At.Sub(told).Round(time.Millisecond)), a.Request})
		}
	}
	return broken
}

// checkPauses reports requests that a node sent to a target during the pause that the
// target had asked it for.
func checkPauses(h *history) []breach {
	var broken []breach
	for _, asked := range h.arrivals {
		if asked.Pause == 0 || asked.Ended.IsZero() {
			continue
		}
		from, to := asked.Ended.Add(adviceNotice), asked.Ended.Add(asked.Pause)
		n := 0
		for _, a := range h.arrivals {
			if a.Target == asked.Target && a.Node == asked.Node && a.At.After(from) && a.At.Before(to) && h.undisturbedSince(a.Node, a.At).Before(asked.At) {
				n++
			}
		}
		if n > pauseExtra {
			broken = append(broken, breach{promisePause, fmt.Sprintf("%s got %d requests from %s between %s and %s after it had asked for a pause, %d allowed",
				asked.Target, n, asked.Node, adviceNotice, asked.Pause, pauseExtra), asked.Request})
		}
	}
	return broken
}
