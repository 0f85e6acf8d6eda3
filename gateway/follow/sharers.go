package follow

import (
	"cmp"
	"slices"
	"time"

	"filbertmill.example/gateway/replica"
)

// knownTime is how long after its registration a node takes part in what all
// share, and the age of the copy up to which it is relied on to list all that
// take part: a node either hears of a registration within it, or knows that its
// copy is older.
const knownTime = 3 * time.Second

// LimitShares returns the number of nodes that share what is bounded for the whole
// fleet, so that a part for each keeps the bound, whoever knows of whom. It is 0
// until the others know this node. One that is cut off counts twice as many as
// it knows: it does not see others join.
func (f *Follower) LimitShares(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	nodes := f.cfg.Replica.View().Nodes
	if !listed(nodes, f.cfg.Self.Name) {
		f.listedAt = time.Time{}
		return 0
	}
	if f.listedAt.IsZero() {
		f.listedAt = now
	}
	switch {
	case now.Sub(f.listedAt) < knownTime:
		return 0
	case f.copyAge(now) >= knownTime:
		return 2 * len(nodes)
	}
	return len(nodes)
}

func listed(nodes []replica.Node, name string) bool {
	_, found := slices.BinarySearchFunc(nodes, name, func(n replica.Node, name string) int { return cmp.Compare(n.Name, name) })
	return found
}

// copyAge returns the time since the store confirmed this node's copy, to itself
// or to a relay. It must be called with mu held.
func (f *Follower) copyAge(now time.Time) time.Duration {
	age := now.Sub(f.storeAt)
	for _, fd := range f.feeds {
		if !fd.heard.IsZero() {
			age = min(age, fd.age+now.Sub(fd.heard))
		}
	}
	return age
}
