package content

import (
	"maps"
	"sync"
	"time"
)

const (
	// linkShare is the share of a link that content may take. The rest is for callers'
	// requests and for messages between nodes.
	linkShare = 0.7
	// maxBacklog is how long content may wait for the link. Other messages wait behind it.
	maxBacklog = 60 * time.Millisecond
	// turnLife is how long after its time a turn is kept for a receiver that is late.
	turnLife = time.Second
)

// Pacer spreads the content that a node sends by the bandwidth of its link. Receivers for
// which there is no room get a turn, in the order in which they have asked. It is safe for
// concurrent use.
type Pacer struct {
	// rate is the bandwidth for content in bytes/s, or 0 if it is not limited.
	rate float64

	mu sync.Mutex
	// freeAt is when the link will have carried what was admitted and what has a turn.
	freeAt time.Time
	// turns holds, by receiver, when its turn is.
	turns map[string]time.Time
}

// NewPacer returns a Pacer for a link with a bandwidth in Mbit/s; 0 does not limit it.
func NewPacer(mbps float64) *Pacer {
	const bytesPerMbit = 1e6 / 8
	return &Pacer{rate: linkShare * max(mbps, 0) * bytesPerMbit, turns: make(map[string]time.Time)}
}

// Admit reports whether bytes may be sent to a receiver now. Otherwise it returns after
// which time the receiver is to ask again: then it is its turn.
func (p *Pacer) Admit(now time.Time, to string, bytes int) (later time.Duration, ok bool) {
	if p.rate == 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.turns, func(_ string, at time.Time) bool { return now.Sub(at) > turnLife })
	if at, waits := p.turns[to]; waits {
		if at.After(now) {
			return at.Sub(now), false
		}
		delete(p.turns, to)
		return 0, true
	}
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	backlog := p.freeAt.Sub(now)
	p.freeAt = p.freeAt.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	if backlog > maxBacklog {
		p.turns[to] = now.Add(backlog)
		return backlog, false
	}
	return 0, true
}
