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
	reachPenaltyMin = 2 * time.Second
	reachPenaltyMax = 8 * time.Second
)

// paths remembers the targets that this node has lately failed to reach. It is
// safe for use by many goroutines.
type unreachableTargets struct {
	mu        sync.Mutex
	penalties map[string]reachPenalty
}

// pathFault is a target that could not be reached.
type reachPenalty struct {
	until  time.Time
	length time.Duration
}

func newUnreachableTargets() *unreachableTargets {
	return &unreachableTargets{penalties: make(map[string]reachPenalty)}
}

// note takes the end of an attempt on a target.
func (p *unreachableTargets) record(now time.Time, target string, v pool.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch v {
	case pool.VerdictUnreachable, pool.VerdictTimeout:
		penalty := min(max(2*p.penalties[target].length, reachPenaltyMin), reachPenaltyMax)
		p.penalties[target] = reachPenalty{now.Add(penalty), penalty}
	case pool.VerdictAnswered, pool.VerdictServerError, pool.VerdictRefused:
		delete(p.penalties, target)
	}
}

// bad returns the targets to avoid.
func (p *unreachableTargets) current(now time.Time) []balance.TargetHash {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []balance.TargetHash
	for name, f := range p.penalties {
		if now.Before(f.until) {
			names = append(names, balance.HashTarget(name))
		} else if now.Sub(f.until) > reachPenaltyMax {
			delete(p.penalties, name)
		}
	}
	return names
}
