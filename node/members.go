package node

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertmill.example/config/static"
	"filbertmill.example/fleet"
	"filbertmill.example/fleet/control"
)

// suspicionTime is how long a node that could not be reached is tried last.
const suspicionTime = 3 * time.Second

// memberList holds the nodes that this node knows, and those that it found
// unreachable lately.
type memberList struct {
	members []fleet.Member

	mu       sync.Mutex
	suspects map[string]time.Time
}

// newMemberList starts from the settings: this node and its seeds.
func newMemberList(s *static.Settings) *memberList {
	l := &memberList{suspects: make(map[string]time.Time)}
	l.members = append(l.members, fleet.Member{Peer: control.Peer{
		Name: s.Name, AvailabilityZone: s.AvailabilityZone, Region: s.Region,
		PeerAddress: s.PeerAddress, ControlAddress: s.ControlAddress,
	}})
	for _, seed := range s.Seeds {
		if seed.Name == s.Name {
			continue
		}
		l.members = append(l.members, fleet.Member{Peer: control.Peer{
			Name: seed.Name, AvailabilityZone: seed.AvailabilityZone,
			PeerAddress: seed.PeerAddress, ControlAddress: seed.ControlAddress,
		}})
	}
	return l
}

// homes returns the nodes to try for a service, in order: unsuspected ranks
// first.
func (n *Node) homes(service string) []fleet.Member {
	ranked := fleet.Rank(service, n.members.members)
	ranked = ranked[:min(len(ranked), maxHomes)]
	fit := make([]fleet.Member, 0, len(ranked))
	var late []fleet.Member
	now := time.Now()
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	for _, m := range ranked {
		if now.Before(n.members.suspects[m.Name()]) {
			late = append(late, m)
			continue
		}
		fit = append(fit, m)
	}
	return append(fit, late...)
}

// suspect records that a node could not be reached.
func (n *Node) suspect(name string) {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	n.members.suspects[name] = time.Now().Add(suspicionTime)
}

// seedOf derives the seed of a node's random choices from its name.
func seedOf(name string) uint64 { return xxhash.Sum64String(name) }
