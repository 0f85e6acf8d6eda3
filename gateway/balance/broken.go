package balance

import (
	"time"

	"filbertmill.example/poison"
)

const (
	// resetMemory is how long the fingerprint of a request that met a loss is kept.
	// A poison request is repeated within seconds.
	resetMemory = time.Minute
	// maxResets limits the number of fingerprints.
	maxResets = 4096
)

// recentResets contains the requests during which the connection to a target was
// lost, by fingerprint. Most of them met a gray target, but one that meets losses
// repeatedly may itself crash targets.
type recentResets struct {
	times map[poison.Fingerprint]time.Time
}

func newRecentResets() *recentResets {
	return &recentResets{times: make(map[poison.Fingerprint]time.Time)}
}

func (r *recentResets) has(f poison.Fingerprint) bool {
	_, known := r.times[f]
	return known
}

func (r *recentResets) remove(f poison.Fingerprint) { delete(r.times, f) }

// add adds a request. If there is no room, it first removes expired fingerprints,
// and arbitrary ones until there is room.
func (r *recentResets) add(now time.Time, f poison.Fingerprint) {
	if len(r.times) >= maxResets {
		for old, at := range r.times {
			if now.Sub(at) > resetMemory || len(r.times) >= maxResets {
				delete(r.times, old)
			}
		}
	}
	r.times[f] = now
}
