package pool

import "time"

// startInitialProbe probes a newly listed target and keeps requests away from it
// until the answer has come or InitialProbeWait has passed. A new home doesn't know
// what the previous one learned, for example that a target announced its leaving.
func (h *home) startInitialProbe(now time.Time, t *target) {
	if h.cfg.InitialProbeWait == 0 || t.Leaving {
		return
	}
	t.awaitsInitialProbe = true
	t.limit.pausedUntil = now.Add(h.cfg.InitialProbeWait)
	h.delegate.Probe(t.Name, OriginHome)
}

// endInitialProbe lets requests through to t once the home's probe was answered.
func (h *home) endInitialProbe(now time.Time, t *target, o Observation) {
	if !t.awaitsInitialProbe || o.Origin != OriginHome {
		return
	}
	t.awaitsInitialProbe = false
	t.limit.pausedUntil = now
}
