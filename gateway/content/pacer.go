package content

import (
	"sync"
	"time"
)

const (
	// linkShare is the share of a link that content may take. The rest is for callers'
	// requests and for messages between nodes.
	linkShare = 0.7
	// maxBacklog is how long content may wait for the link. Other messages wait behind it.
	maxBacklog = 60 * time.Millisecond
)

// Pacer spreads the content that a node sends by the bandwidth of its link. It is safe for
// concurrent use.
type Pacer struct {
	// rate is the bandwidth for content in bytes/s, or 0 if it is not limited.
	rate float64

	mu sync.Mutex
	// freeAt is when the link will have carried what was admitted.
	freeAt time.Time
}

// NewPacer returns a Pacer for a link with a bandwidth in Mbit/s; 0 does not limit it.
func NewPacer(mbps float64) *Pacer {
	const bytesPerMbit = 1e6 / 8
	return &Pacer{rate: linkShare * max(mbps, 0) * bytesPerMbit}
}

// Admit reports whether bytes may be sent now. Otherwise it returns after which time the
// receiver is to ask again.
func (p *Pacer) Admit(now time.Time, bytes int) (later time.Duration, ok bool) {
	if p.rate == 0 {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	if backlog := p.freeAt.Sub(now); backlog > maxBacklog {
		return backlog, false
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	return 0, true
}
