package target

import (
	"encoding/json"
	"net/http"
	"time"

	"filbertmill.example/testbed/answer"
)

// Paths that a stand-in answers itself.
const (
	// HealthPath is the health endpoint.
	HealthPath = "/health"
	// LoadPath is the load endpoint.
	LoadPath = "/load"
)

// LoadReport is the answer of the load endpoint.
type LoadReport struct {
	// InFlight and Slots count requests.
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// lagged remembers the state before the last change of behavior.
type lagged struct {
	at      time.Time
	load    LoadReport
	healthy bool
}

func (l *lagged) note(now time.Time, load LoadReport, healthy bool) {
	*l = lagged{at: now, load: load, healthy: healthy}
}

// covers says whether the noted state is what a lagging endpoint still tells.
func (l *lagged) covers(now time.Time) bool {
	return !l.at.IsZero() && now.Sub(l.at) < HealthLag
}

// load reports the slots taken; the caller holds t.mu.
func (t *Target) load() LoadReport {
	return LoadReport{InFlight: len(t.slots), Slots: t.cfg.Slots}
}

// healthy is what the health endpoint says; the caller holds t.mu.
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

// announce adds the headers that every answer carries.
func (t *Target) announce(h http.Header) {
	h.Set(answer.HeaderTarget, t.cfg.Name)
	if _, leaving := t.leavingSince(); leaving {
		h.Set(answer.HeaderLeaving, "1")
	}
}

func (t *Target) leavingSince() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving, !t.leaving.IsZero()
}
