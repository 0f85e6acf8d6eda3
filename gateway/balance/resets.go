package balance

import (
	"time"

	"filbertmill.example/poison"
)

const (
	// brokenMemory is how long it is remembered that a request broke a
	// connection off; a poison request comes again within seconds.
	resetMemory = time.Minute
	// brokenMax bounds the fingerprints remembered.
	maxResets = 4096
)

// broken remembers requests whose connection to a target broke off. Most of them
// met a gray target; one that comes again may be what crashes them.
type recentResets struct {
	times map[poison.Fingerprint]time.Time
}

func newRecentResets() *recentResets {
	return &recentResets{times: make(map[poison.Fingerprint]time.Time)}
}

func (b *recentResets) has(f poison.Fingerprint) bool {
	_, known := b.times[f]
	return known
}

func (b *recentResets) remove(f poison.Fingerprint) { delete(b.times, f) }

// add remembers a request; what is old goes when there is no more room.
func (b *recentResets) add(now time.Time, f poison.Fingerprint) {
	if len(b.times) >= maxResets {
		for old, at := range b.times {
			if now.Sub(at) > resetMemory || len(b.times) >= maxResets {
				delete(b.times, old)
			}
		}
	}
	b.times[f] = now
}
