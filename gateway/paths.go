package gateway

import (
	"sync"
	"time"

	"filbertmill.example/gateway/balance"
	"filbertmill.example/pool"
)

const (
	// reachPenaltyMin and reachPenaltyMax limit the time for which this node avoids
	// a target that it failed to reach. Other nodes may still reach that target.
	reachPenaltyMin = 2 * time.Second
	reachPenaltyMax = 8 * time.Second
)

// unreachableTargets contains the targets that this node has recently failed to
// reach. Each further failure doubles the time for which a target is avoided. It is
// safe for concurrent use.
type unreachableTargets struct {
	mu        sync.Mutex
	penalties map[string]reachPenalty
}

// reachPenalty is the time for which a target is avoided.
type reachPenalty struct {
	until  time.Time
	length time.Duration
}

func newUnreachableTargets() *unreachableTargets {
	return &unreachableTargets{penalties: make(map[string]reachPenalty)}
}

// record updates the penalty of a target by the verdict on an attempt.
func (u *unreachableTargets) record(now time.Time, target string, v pool.Verdict) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch v {
	case pool.VerdictUnreachable, pool.VerdictTimeout:
		penalty := min(max(2*u.penalties[target].length, reachPenaltyMin), reachPenaltyMax)
		u.penalties[target] = reachPenalty{now.Add(penalty), penalty}
	case pool.VerdictAnswered, pool.VerdictServerError, pool.VerdictRefused:
		delete(u.penalties, target)
	}
}

// current returns the targets to avoid now.
func (u *unreachableTargets) current(now time.Time) []balance.TargetHash {
	u.mu.Lock()
	defer u.mu.Unlock()
	var hashes []balance.TargetHash
	for name, penalty := range u.penalties {
		if now.Before(penalty.until) {
			hashes = append(hashes, balance.HashTarget(name))
		} else if now.Sub(penalty.until) > reachPenaltyMax {
			delete(u.penalties, name)
		}
	}
	return hashes
}
