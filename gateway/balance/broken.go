package balance

import (
	"time"

	"filbertmill.example/poison"
)

const (
	// brokenMemory is how long it is remembered that a request broke a
	// connection off; a poison request comes again within seconds.
	brokenMemory = time.Minute
	// brokenMax bounds the fingerprints remembered.
	brokenMax = 4096
)

// broken remembers requests whose connection to a target broke off. Most of them
// met a gray target; one that comes again may be what crashes them.
type broken struct {
	at map[poison.Fingerprint]time.Time
}

func newBroken() *broken { return &broken{at: make(map[poison.Fingerprint]time.Time)} }

func (b *broken) has(f poison.Fingerprint) bool {
	_, known := b.at[f]
	return known
}

func (b *broken) drop(f poison.Fingerprint) { delete(b.at, f) }

// add remembers a request; what is old goes when there is no more room.
func (b *broken) add(now time.Time, f poison.Fingerprint) {
	if len(b.at) >= brokenMax {
		for old, at := range b.at {
			if now.Sub(at) > brokenMemory || len(b.at) >= brokenMax {
				delete(b.at, old)
			}
		}
	}
	b.at[f] = now
}
