package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"filbertmill.example/testbed/backend"
)

// The limits of the promises, as in the nodes' settings.
const (
	drainBound   = 2 * time.Second
	applyBound   = 2 * time.Second
	budgetRatio  = 0.2
	budgetExtra  = 50
	budgetWindow = 10 * time.Second
	// routeAttempts is the number of targets that a request may reach.
	routeAttempts = 3
	// faultEffectTime is how long after a fault the promised time limits need not
	// hold yet.
	faultEffectTime = 6 * time.Second
	// olderSlack is how long after the first answer under a version an older version
	// may still serve new requests.
	olderSlack = 500 * time.Millisecond
	// recoverTime is how long after the last fault the fleet must serve again, and
	// recoverShare the share of requests that it must serve from then on.
	recoverTime  = 10 * time.Second
	recoverShare = 0.95
)

// The promises.
const (
	promiseOnce      = "unsafe requests run at most once"
	promiseRefusals  = "what is refused did not run"
	promiseWhole     = "successes are whole and the request's own"
	promiseOlder     = "no configuration older than one seen"
	promiseApplied   = "a configuration is in force in time"
	promiseDrained   = "no work for leaving targets after the bound"
	promiseBudget    = "retries stay within the budget"
	promiseAttempts  = "no more targets than the route allows"
	promisePlanned   = "planned work cuts nothing"
	promiseTimely    = "planned work delays nothing beyond its time"
	promiseLost      = "no request is lost on its connection"
	promiseLostSlow  = "no request is lost on a slow link"
	promiseGrace     = "nodes end within their grace"
	promiseCounts    = "nodes count what callers saw"
	promiseSum       = "what nodes have read adds up"
	promiseRecovered = "service is back after the last fault"
)

// breach is one violation of a promise, with the id of the request that shows it, if
// one does.
type breach struct{ promise, text, request string }

func (b breach) String() string { return b.promise + ": " + b.text }

// check returns the breaches up to now of the promises that can be checked during a
// run.
func check(h *history) []breach {
	return slices.Concat(
		checkOnce(h), checkRefusals(h), checkWhole(h), checkOlder(h), checkApplied(h), checkDrained(h),
		checkBudget(h), checkAttempts(h), checkPlanned(h), checkLost(h), checkGrace(h),
		checkLimits(h), checkToldLeaving(h), checkPauses(h), checkWorkspaces(h))
}

// checkOnce reports requests of the unsafe route that ran more than once.
func checkOnce(h *history) []breach {
	var broken []breach
	first := make(map[string]backend.Run)
	for _, r := range h.runs {
		other, again := first[r.Request]
		if again && r.Path == "/book/x" {
			broken = append(broken, breach{promiseOnce, fmt.Sprintf("%s ran on %s and again on %s", r.Request, other.Target, r.Target), r.Request})
		}
		first[r.Request] = r
	}
	return broken
}

// checkRefusals reports requests of the unsafe route that ran although they were
// refused, or were pipelined behind an answer that closed the connection.
func checkRefusals(h *history) []breach {
	var broken []breach
	ran := make(map[string]bool)
	for _, r := range h.runs {
		ran[r.Request] = true
	}
	for _, c := range h.calls {
		refused := c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests
		switch {
		case c.route != "book" || !ran[c.id]:
		case refused:
			broken = append(broken, breach{promiseRefusals, fmt.Sprintf("%s was answered %d and ran", c.id, c.status), c.id})
		case c.crossed:
			broken = append(broken, breach{promiseRefusals, fmt.Sprintf("%s was pipelined behind a closing answer and ran", c.id), c.id})
		}
	}
	return broken
}

// checkWhole reports successful answers that are not the complete answer to their
// request, and bytes that no request asked for.
func checkWhole(h *history) []breach {
	var broken []breach
	for _, c := range h.calls {
		if c.status == http.StatusOK && !c.intact {
			broken = append(broken, breach{promiseWhole, fmt.Sprintf("%s got an incomplete answer or that of another request", c.id), c.id})
		}
	}
	for _, m := range h.strays {
		broken = append(broken, breach{promiseWhole, fmt.Sprintf("bytes came from %s without a request", m.subject), ""})
	}
	return broken
}

// checkOlder reports processes that went back to an older configuration.
func checkOlder(h *history) []breach {
	type processKey struct {
		node string
		life int
	}
	type seenVersion struct {
		version int
		at      time.Time
	}
	newest := make(map[processKey]seenVersion)
	var broken []breach
	calls := slices.Clone(h.calls)
	slices.SortFunc(calls, func(a, b call) int { return a.ended.Compare(b.ended) })
	for _, c := range calls {
		key := processKey{c.node, c.life}
		seen := newest[key]
		switch {
		case c.version == 0:
		case c.status == http.StatusOK && c.version < seen.version && c.sent.After(seen.at.Add(olderSlack)):
			broken = append(broken, breach{promiseOlder, fmt.Sprintf("%s served %s by version %d after version %d", c.node, c.id, c.version, seen.version), c.id})
		case c.status == http.StatusNotFound && c.version == seen.version && c.version == len(h.versions) && c.sent.After(seen.at.Add(olderSlack)):
			broken = append(broken, breach{promiseOlder, fmt.Sprintf("%s no longer knows version %d (%s)", c.node, c.version, c.id), c.id})
		case c.status == http.StatusOK && c.version > seen.version:
			newest[key] = seenVersion{c.version, c.ended}
		}
	}
	return broken
}

// checkApplied reports nodes that did not apply a configuration version in time
// although there was no fault.
func checkApplied(h *history) []breach {
	var broken []breach
	for _, c := range h.calls {
		if c.version == 0 || c.status != http.StatusNotFound {
			continue
		}
		acknowledged := h.versions[c.version-1]
		superseded := c.version < len(h.versions) && h.versions[c.version].Before(c.ended)
		late := c.sent.After(acknowledged.Add(applyBound))
		if late && !superseded && !h.faultWithin(c.sent.Add(-faultEffectTime), c.sent) {
			broken = append(broken, breach{promiseApplied, fmt.Sprintf("%s did not know version %d %s after it was acknowledged (%s)",
				c.node, c.version, c.sent.Sub(acknowledged).Round(time.Millisecond), c.id), c.id})
		}
	}
	return broken
}

// checkDrained reports requests that arrived at targets after those had reported
// that they are leaving.
func checkDrained(h *history) []breach {
	var broken []breach
	for _, l := range h.leaves {
		for _, a := range h.arrivals {
			late := a.Target == l.what && a.At.After(l.at.Add(drainBound))
			if late && !h.faultWithin(a.At.Add(-faultEffectTime), a.At) {
				broken = append(broken, breach{promiseDrained, fmt.Sprintf("%s reached %s %s after the target reported that it was leaving",
					a.Request, a.Target, a.At.Sub(l.at).Round(time.Millisecond)), a.Request})
			}
		}
	}
	return broken
}

// checkBudget reports windows with more repeated arrivals of requests than the retry
// budget of the fleet allows.
func checkBudget(h *history) []breach {
	var broken []breach
	for _, service := range services {
		var firsts, repeats []time.Time
		seen := make(map[string]bool)
		arrivals := slices.Clone(h.arrivals)
		slices.SortFunc(arrivals, func(a, b backend.Arrival) int { return a.At.Compare(b.At) })
		for _, a := range arrivals {
			switch {
			case a.Service != service:
			case seen[a.Request]:
				repeats = append(repeats, a.At)
			default:
				seen[a.Request] = true
				firsts = append(firsts, a.At)
			}
		}
		for _, c := range h.calls {
			if c.route == service && !seen[c.id] {
				firsts = append(firsts, c.sent) // it reached no target
			}
		}
		for _, start := range repeats {
			n := countWithin(repeats, start, budgetWindow)
			requests := 0
			for _, before := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
				requests = max(requests, countWithin(firsts, start.Add(-before), budgetWindow))
			}
			allowed := budgetRatio*float64(requests) + budgetExtra
			if float64(n) > allowed {
				broken = append(broken, breach{promiseBudget, fmt.Sprintf("service %s: %d repeated arrivals in %s, %.0f allowed", service, n, budgetWindow, allowed), ""})
				break
			}
		}
	}
	return broken
}

// countWithin counts the times that fall in a window.
func countWithin(times []time.Time, start time.Time, length time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.Before(start) && t.Before(start.Add(length)) {
			n++
		}
	}
	return n
}

// checkAttempts reports requests that reached more targets than their route allows.
func checkAttempts(h *history) []breach {
	var broken []breach
	targets := make(map[string]map[string]bool)
	for _, a := range h.arrivals {
		if targets[a.Request] == nil {
			targets[a.Request] = make(map[string]bool)
		}
		targets[a.Request][a.Target] = true
	}
	for request, reached := range targets {
		if len(reached) > routeAttempts {
			broken = append(broken, breach{promiseAttempts, fmt.Sprintf("%s reached %d targets, %d allowed", request, len(reached), routeAttempts), request})
		}
	}
	return broken
}

// checkPlanned reports requests that failed or were lost while there was planned
// work only.
func checkPlanned(h *history) []breach {
	var broken []breach
	reached := h.arrivalsByRequest()
	for _, c := range h.calls {
		l := h.loss(c, reached[c.id])
		failed := c.overdue && !c.pipelined || (c.status == http.StatusBadGateway || c.status == http.StatusGatewayTimeout) && !c.hangs() && !l.workedLate()
		cut := c.cut() && !l.excused() && !l.maybeUnread()
		promise := promisePlanned
		switch {
		case cut:
			promise = c.lostPromise()
		case c.status == http.StatusGatewayTimeout:
			promise = promiseTimely
		}
		if (failed || cut) && !h.unplannedFaultWithin(c.sent.Add(-faultEffectTime), l.latestEnd()) {
			broken = append(broken, breach{promise, fmt.Sprintf("%s sent to %s ended with status %d", c.id, c.node, c.status), c.id})
		}
	}
	return broken
}

// checkRecovered reports a fleet that does not serve again after the last fault.
// Requests during a stall of the machine do not count. Neither do those that cannot
// be served: hanging work, and requests that their callers abandoned or sent once
// more.
func checkRecovered(h *history) []breach {
	served, all, stalled := 0, 0, 0
	for _, c := range h.calls {
		abandoned := c.left && !c.overdue || c.crossed
		if c.version > 0 || c.hangs() || abandoned || !c.owed() || c.sent.Before(h.settledAt.Add(recoverTime)) {
			continue
		}
		if h.stallWithin(c.sent.Add(-callerTimeout), c.ended) {
			stalled++
			continue
		}
		all++
		if c.status == http.StatusOK {
			served++
		}
	}
	if all == 0 && stalled > 0 {
		return nil
	}
	if all == 0 || float64(served) < recoverShare*float64(all) {
		return []breach{{promiseRecovered, fmt.Sprintf("%d of %d requests served after the last fault", served, all), ""}}
	}
	return nil
}
