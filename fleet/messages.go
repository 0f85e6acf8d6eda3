package fleet

import (
	"filbertmill.example/fleet/control"
)

// The kinds of messages between the Agents of two nodes.
const (
	kindExchange control.Kind = "exchange"
	kindDigests  control.Kind = "digests"
	kindRecords  control.Kind = "records"
	kindPing     control.Kind = "ping"
	kindProbe    control.Kind = "probe"
	kindRevision control.Kind = "revision"
	kindDocument control.Kind = "document"
	kindStatus   control.Kind = "status"
)

// exchange is the message of periodic gossip. The request and its reply have the
// same form.
type exchange struct {
	// Self is the sender's own record.
	Self Member `cbor:"1,keyasint"`
	// InForce is the version of the sender's configuration in force; Highest is
	// the newest version that the sender knows to exist.
	InForce Version `cbor:"2,keyasint"`
	Highest Version `cbor:"3,keyasint"`
	// Summary is the hash of the sender's table.
	Summary uint64 `cbor:"4,keyasint"`
	// Rumors are recently changed records, which are still being disseminated.
	Rumors []Member `cbor:"5,keyasint,omitempty"`
	// Others is the number of members alive or suspected in the sender's view,
	// without the sender and the receiver. It is set in replies only.
	Others int `cbor:"6,keyasint,omitempty"`
}

// digests is the answer to a request for the digests of the table.
type digests struct {
	// Packed is the result of table.packedDigests.
	Packed []byte `cbor:"1,keyasint"`
}

// recordsRequest requests the records of some buckets of the table.
type recordsRequest struct {
	Buckets []uint16 `cbor:"1,keyasint"`
}

// records is the answer to a recordsRequest.
type records struct {
	Members []Member `cbor:"1,keyasint"`
}

// probeRequest asks a node to ping another one on behalf of the sender.
type probeRequest struct {
	Peer control.Peer `cbor:"1,keyasint"`
}

// probeReply is the answer to a probeRequest.
type probeReply struct {
	// Reached is set if the peer answered the ping.
	Reached bool `cbor:"1,keyasint"`
}

// revisionNotice announces the configuration that the sender has in force.
type revisionNotice struct {
	Version Version `cbor:"1,keyasint"`
}

// documentRequest requests the configuration in force. The answer is a
// packedDocument; it holds a delta if the answering node still has the version
// Have.
type documentRequest struct {
	Have Version `cbor:"1,keyasint"`
}

// empty is a message without content.
type empty struct{}
