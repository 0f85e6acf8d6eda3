package gateway

import (
	"sync"
	"time"

	"filbertmill.example/gateway/balance"
	"filbertmill.example/pool"
)

const (
	// pathPenaltyMin and pathPenaltyMax bound the time for which a target is
	// avoided that this node failed to reach; others may reach it well.
	pathPenaltyMin = 2 * time.Second
	pathPenaltyMax = 8 * time.Second
)

// paths remembers the targets that this node has lately failed to reach. It is
// safe for use by many goroutines.
type paths struct {
	mu   sync.Mutex
	down map[string]pathFault
}

// pathFault is a target that could not be reached.
type pathFault struct {
	until   time.Time
	penalty time.Duration
}

func newPaths() *paths { return &paths{down: make(map[string]pathFault)} }

// note takes the end of an attempt on a target.
func (p *paths) note(now time.Time, target string, v pool.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch v {
	case pool.VerdictUnreachable, pool.VerdictTimeout:
		penalty := min(max(2*p.down[target].penalty, pathPenaltyMin), pathPenaltyMax)
		p.down[target] = pathFault{now.Add(penalty), penalty}
	case pool.VerdictAnswered, pool.VerdictServerError, pool.VerdictRefused:
		delete(p.down, target)
	}
}

// bad returns the targets to avoid.
func (p *paths) bad(now time.Time) []balance.TargetHash {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []balance.TargetHash
	for name, f := range p.down {
		if now.Before(f.until) {
			names = append(names, balance.HashTarget(name))
		} else if now.Sub(f.until) > pathPenaltyMax {
			delete(p.down, name)
		}
	}
	return names
}
