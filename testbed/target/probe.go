package target

import (
	"encoding/json"
	"net/http"
	"time"

	"filbertmill.example/testbed/answer"
)

// Paths that are served without a slot.
const (
	// HealthPath is the health endpoint.
	HealthPath = "/health"
	// LoadPath is the load endpoint.
	LoadPath = "/load"
)

// LoadReport is the answer of the load endpoint.
type LoadReport struct {
	// InFlight is the number of requests in flight, and Slots the number of slots.
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// lagged is the state before the last change of behavior.
type lagged struct {
	at      time.Time
	load    LoadReport
	healthy bool
}

// record stores the state at the time of a change.
func (l *lagged) record(now time.Time, load LoadReport, healthy bool) {
	*l = lagged{at: now, load: load, healthy: healthy}
}

// covers reports whether a lagging endpoint still reports the recorded state.
func (l *lagged) covers(now time.Time) bool {
	return !l.at.IsZero() && now.Sub(l.at) < HealthLag
}

// load returns the current load. The caller holds t.mu.
func (t *Target) load() LoadReport {
	return LoadReport{InFlight: len(t.slots), Slots: t.cfg.Slots}
}

// healthy reports whether the health endpoint answers 200 now. The caller holds t.mu.
func (t *Target) healthy() bool {
	return t.leaving.IsZero() && t.behavior.Health != HealthBad
}

func (t *Target) serveHealth(w http.ResponseWriter) {
	time.Sleep(t.cfg.ProbeTime)
	t.mu.Lock()
	ok := t.healthy()
	if t.behavior.Health == HealthLagging && t.lag.covers(time.Now()) {
		ok = t.lag.healthy
	}
	t.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) serveLoad(w http.ResponseWriter) {
	t.mu.Lock()
	report := t.load()
	switch {
	case t.behavior.Load == LoadZero:
		report.InFlight = 0
	case t.behavior.Load == LoadLagging && t.lag.covers(time.Now()):
		report = t.lag.load
	}
	t.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(report)
}

// announce sets the headers that every answer carries.
func (t *Target) announce(h http.Header) {
	h.Set(answer.HeaderTarget, t.cfg.Name)
	if _, leaving := t.leavingSince(); leaving {
		h.Set(answer.HeaderLeaving, "1")
	}
}

// leavingSince returns when the target announced that it is leaving, and whether it
// has.
func (t *Target) leavingSince() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving, !t.leaving.IsZero()
}
