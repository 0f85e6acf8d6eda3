package fleet

import (
	"cmp"

	"filbertmill.example/fleet/control"
)

// State is the state of a member in another node's view.
type State uint8

// The states of a member. Within one incarnation a later state supersedes an
// earlier one.
const (
	// StateAlive means that the member takes part in the fleet.
	StateAlive State = iota
	// StateSuspect means that neither a partner nor the other members that it
	// asked could reach the member. The member may still refute the suspicion;
	// until then other members are tried before it, so that it acts as home
	// only if they fail.
	StateSuspect
	// StateLeaving means that the member has announced its departure, or that
	// the host list reports it.
	StateLeaving
	// StateGone means that a suspect has not refuted the suspicion in time, or
	// that a leaving member no longer answers.
	StateGone
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	case StateGone:
		return "gone"
	}
	return "unknown"
}

// Member is the record that one node has of another.
type Member struct {
	// Peer holds the name and the addresses of the node.
	Peer control.Peer `cbor:"1,keyasint" json:"peer"`
	// Incarnation orders the records of the node. Only the node itself raises
	// it: when it starts, and to refute a suspicion. Zero means that the node
	// is known only from the host list or as a seed.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	// State is the node's state in the view of the node that has the record.
	State State `cbor:"3,keyasint" json:"state"`
}

// Name returns the member's name.
func (m Member) Name() string { return m.Peer.Name }

// Supersedes reports whether m replaces old. It is a total order of the records
// of a name, so that nodes that exchange records converge.
func (m Member) Supersedes(old Member) bool {
	return cmp.Or(
		cmp.Compare(m.Incarnation, old.Incarnation),
		cmp.Compare(m.State, old.State),
		cmp.Compare(m.Peer.PeerAddress, old.Peer.PeerAddress),
		cmp.Compare(m.Peer.ControlAddress, old.Peer.ControlAddress),
	) > 0
}
