package pool

import (
	"slices"
	"time"
)

const (
	// routeLimit bounds the number of routes with statistics of their own. Further
	// routes share those of one unnamed route, on which latencies are never compared.
	routeLimit = 1024
	// latencyWindow is the number of latencies kept for a route.
	latencyWindow = 256
	// routeKnown is the number of answers after which a route's latency is known.
	routeKnown = 32
	// quantileRefresh is the number of answers between two computations of the quantiles.
	quantileRefresh = 16
	// meanWeight is the weight of the newest answer in the mean.
	meanWeight = 1.0 / 32
)

// route holds the statistics of the requests of one route, over all targets.
type route struct {
	name      string
	latencies []time.Duration
	// next is the index of the next latency once the window is full.
	next  int
	count int
	// median, high and tail are the quantiles 0.5, 0.8 and 0.95.
	median, high, tail time.Duration
	// mean is the moving mean of the latency.
	mean time.Duration
	// overrun is the longest time that an attempt ran while the route had too few
	// answers for a mean.
	overrun time.Duration
	// tallies counts the categories of the attempts by target.
	tallies map[*target]*tally
}

func newRoute(name string) *route {
	return &route{name: name, tallies: make(map[*target]*tally)}
}

// known reports whether there are enough answers to compare latencies.
func (r *route) known() bool { return r.name != "" && r.tail > 0 }

// learn records the latency of one complete answer.
func (r *route) learn(latency time.Duration) {
	if len(r.latencies) < latencyWindow {
		r.latencies = append(r.latencies, latency)
	} else {
		r.latencies[r.next] = latency
		r.next = (r.next + 1) % latencyWindow
	}
	r.count++
	r.learnMean(latency)
	if r.count%quantileRefresh == 0 && r.count >= routeKnown {
		r.refresh()
	}
}

func (r *route) learnMean(latency time.Duration) {
	weight := max(meanWeight, 1/float64(r.count))
	r.mean += time.Duration(weight * float64(latency-r.mean))
}

// refresh computes the quantiles.
func (r *route) refresh() {
	sorted := slices.Clone(r.latencies)
	slices.Sort(sorted)
	n := len(sorted)
	r.median = sorted[n/2]
	r.high = sorted[n*8/10]
	r.tail = sorted[n*95/100]
}

// routeOf returns the statistics of the named route.
func (h *home) routeOf(name string) *route {
	r := h.routes[name]
	if r != nil {
		return r
	}
	if len(h.routes) >= routeLimit {
		return h.otherRoute
	}
	r = newRoute(name)
	h.routes[name] = r
	return r
}

// forgetTarget removes t from the statistics of all routes.
func (h *home) forgetTarget(t *target) {
	for _, r := range h.routes {
		delete(r.tallies, t)
	}
	delete(h.otherRoute.tallies, t)
}
