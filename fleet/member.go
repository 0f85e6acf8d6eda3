package fleet

import (
	"cmp"

	"filbertmill.example/fleet/control"
)

// State is what is believed of a member.
type State uint8

// The states of a member, in the order in which they replace one another
// within one incarnation.
const (
	// StateAlive means that the member takes part.
	StateAlive State = iota
	// StateSuspect means that a member could not be reached through several
	// others; it is home to nothing new and may still refute.
	StateSuspect
	// StateLeaving means that the member announced its departure or that the
	// host list says so.
	StateLeaving
	// StateGone means that a suspected member did not refute in time, or left.
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

// Member is one node as another one knows it.
type Member struct {
	// Peer says how to reach the node.
	Peer control.Peer `cbor:"1,keyasint" json:"peer"`
	// Incarnation orders what is said of the node. Only the node itself raises
	// it: when it starts, and to refute a suspicion. Zero means that the node
	// has not been heard of except through the host list.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
	// State is what is believed of the node.
	State State `cbor:"3,keyasint" json:"state"`
}

// Name returns the member's name.
func (m Member) Name() string { return m.Peer.Name }

// Supersedes reports whether m replaces old. It orders all records of a
// name totally, so that nodes which exchange them agree in the end.
func (m Member) Supersedes(old Member) bool {
	return cmp.Or(
		cmp.Compare(m.Incarnation, old.Incarnation),
		cmp.Compare(m.State, old.State),
		cmp.Compare(m.Peer.PeerAddress, old.Peer.PeerAddress),
		cmp.Compare(m.Peer.ControlAddress, old.Peer.ControlAddress),
	) > 0
}
