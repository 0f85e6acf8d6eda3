package follow

import (
	"cmp"
	"slices"
	"time"

	"filbertmill.example/gateway/replica"
)

// propagationTime is how long after its registration a node waits before it takes a
// share of a fleet-wide limit. It is also the age up to which a replica is relied on
// to list all nodes that take one: within that time, a node either learns of a new
// registration or knows that its replica is older.
const propagationTime = 3 * time.Second

// LimitShares returns the number of equal shares into which a fleet-wide limit is
// divided, one for each node. The shares never add up to more than the limit, even if
// the nodes know different sets of nodes. It returns 0 until the other nodes know this
// one. A partitioned node counts twice as many nodes as it knows, because it does not
// see others join.
func (f *Follower) LimitShares(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes := f.cfg.Replica.View().Nodes
	if !listed(nodes, f.cfg.Self.Name) {
		f.registrationSeenAt = time.Time{}
		return 0
	}
	if f.registrationSeenAt.IsZero() {
		f.registrationSeenAt = now
	}
	switch {
	case now.Sub(f.registrationSeenAt) < propagationTime:
		return 0
	case now.Sub(f.confirmations.last) >= propagationTime:
		return 2 * len(nodes)
	}
	return len(nodes)
}

// joinAllowance is how much larger than a node knows the fleet may be while the node's
// copy of the store is old, as it does not see others join.
const joinAllowance = 1.25

// QuotaShares returns the number of equal shares into which quotas are divided, one for
// each node. Unlike LimitShares, a node has its share at once after a restart, as the
// others know it, and a node whose copy is old keeps most of its share: quotas decide on
// each request, also while the store is away.
func (f *Follower) QuotaShares(now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes := f.cfg.Replica.View().Nodes
	switch {
	case !listed(nodes, f.cfg.Self.Name):
		return 0
	case !f.registeredAt.IsZero() && now.Sub(f.registeredAt) < propagationTime:
		return 0
	case now.Sub(f.confirmations.last) >= propagationTime:
		return joinAllowance * float64(len(nodes))
	}
	return float64(len(nodes))
}

func listed(nodes []replica.Node, name string) bool {
	_, found := slices.BinarySearchFunc(nodes, name, func(n replica.Node, name string) int { return cmp.Compare(n.Name, name) })
	return found
}
