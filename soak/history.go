package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"filbertmill.example/testbed/backend"
)

// call is one request of a caller and its end.
type call struct {
	id, route, method string
	// version is the configuration whose own route was called, or 0.
	version int
	// node took the request in the life with the given number.
	node string
	life int
	sent time.Time
	// ended is when the answer was read or the caller gave up; status is 0 if
	// there was no answer.
	ended  time.Time
	status int
	whole  bool
}

// moment is something that happened at a time.
type moment struct {
	what string
	at   time.Time
}

// history is what callers and targets saw in one run.
type history struct {
	mu       sync.Mutex
	calls    []call
	versions []time.Time
	leaves   []moment
	troubles []moment
	calm     time.Time
	runs     []backend.Run
	arrivals []backend.Arrival
}

func (h *history) called(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// configured records when a version was acknowledged; the first is 1.
func (h *history) configured(version int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version == len(h.versions)+1 {
		h.versions = append(h.versions, at)
	}
}

func (h *history) left(target string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaves = append(h.leaves, moment{target, at})
}

// disturbed records the start or the end of a fault.
func (h *history) disturbed(k kind, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k != configure {
		h.troubles = append(h.troubles, moment{string(k), at})
	}
}

func (h *history) settled(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calm = at
}

// disturbedWithin says whether a fault began or ended between two times.
func (h *history) disturbedWithin(from, to time.Time) bool {
	return slices.ContainsFunc(h.troubles, func(m moment) bool { return m.at.After(from) && m.at.Before(to) })
}

// stalledWithin says whether the machine stood still between two times.
func (h *history) stalledWithin(from, to time.Time) bool {
	return slices.ContainsFunc(h.troubles, func(m moment) bool {
		return m.what == string(machineStalls) && m.at.After(from) && m.at.Before(to)
	})
}

// unplannedWithin says whether a fault that is no planned work began or ended
// between two times.
func (h *history) unplannedWithin(from, to time.Time) bool {
	return slices.ContainsFunc(h.troubles, func(m moment) bool {
		return m.at.After(from) && m.at.Before(to) && !slices.Contains(plannedKinds, kind(m.what))
	})
}

// sofar returns a copy with what the targets have seen.
func (h *history) sofar(ledger *backend.Ledger) *history {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &history{
		calls: slices.Clone(h.calls), versions: slices.Clone(h.versions), leaves: slices.Clone(h.leaves),
		troubles: slices.Clone(h.troubles), calm: h.calm, runs: ledger.Runs(), arrivals: ledger.Arrivals(),
	}
}

func (h *history) summary() string {
	counts := make(map[int]int)
	for _, c := range h.calls {
		counts[c.status]++
	}
	stalls := 0
	for _, m := range h.troubles {
		if m.what == string(machineStalls) {
			stalls++
		}
	}
	return fmt.Sprintf("%d requests, %d answered 200, %d refused, %d failed, %d without an answer, %d versions, %d stalls of the machine",
		len(h.calls), counts[200], counts[503]+counts[429], counts[500]+counts[502]+counts[504], counts[0], len(h.versions), stalls/2)
}
