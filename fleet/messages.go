package fleet

import (
	"filbertmill.example/fleet/control"
)

// The kinds of message between nodes.
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

// exchange is what two nodes tell each other, in both directions.
type exchange struct {
	// Self is the sender's own record.
	Self Member `cbor:"1,keyasint"`
	// InForce is the sender's configuration; Highest the newest it heard of.
	InForce Version `cbor:"2,keyasint"`
	Highest Version `cbor:"3,keyasint"`
	// Summary is the hash of the sender's table.
	Summary uint64 `cbor:"4,keyasint"`
	// Rumors are records that changed lately.
	Rumors []Member `cbor:"5,keyasint,omitempty"`
	// Others is the number of members that the sender knows and does not hold
	// for gone, besides itself and the receiver.
	Others int `cbor:"6,keyasint,omitempty"`
}

// digests is the answer to a request for the table's digests.
type digests struct {
	Packed []byte `cbor:"1,keyasint"`
}

// recordsRequest asks for the records of some buckets.
type recordsRequest struct {
	Buckets []uint16 `cbor:"1,keyasint"`
}

// records is its answer.
type records struct {
	Members []Member `cbor:"1,keyasint"`
}

// probeRequest asks a node to try to reach another one.
type probeRequest struct {
	Peer control.Peer `cbor:"1,keyasint"`
}

// probeReply says whether it could.
type probeReply struct {
	Reached bool `cbor:"1,keyasint"`
}

// revisionNotice says that the sender has a configuration in force.
type revisionNotice struct {
	Version Version `cbor:"1,keyasint"`
}

// documentRequest asks for the configuration in force; the answer is a
// packedDocument, as a delta if the answering node still has Have.
type documentRequest struct {
	Have Version `cbor:"1,keyasint"`
}

// empty is a message without content.
type empty struct{}
