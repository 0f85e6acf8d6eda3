package pool

import "time"

// firstLook has a newly listed target probed and keeps work away from it until
// the answer has come or FirstLook has passed. A home that is new does not know
// what the one before it learned, such as a target's own signal that it leaves.
func (h *home) startInitialProbe(now time.Time, t *target) {
	if h.cfg.InitialProbeWait == 0 || t.Leaving {
		return
	}
	t.awaitsInitialProbe = true
	t.limit.pausedUntil = now.Add(h.cfg.InitialProbeWait)
	h.delegate.Probe(t.Name, OriginHome)
}

// endFirstLook lets work through to t once the home has seen it.
func (h *home) endInitialProbe(now time.Time, t *target, o Observation) {
	if !t.awaitsInitialProbe || o.Origin != OriginHome {
		return
	}
	t.awaitsInitialProbe = false
	t.limit.pausedUntil = now
}
