package once

// Epoch numbers the tenures of one service. A higher one ends a lower one.
type Epoch uint64

// Revision is the store's version of a record, given back on a write so that
// it succeeds only if nobody else wrote in between; 0 means no record.
type Revision int64

// Member is one run of one node's process.
type Member struct {
	// Name is the node's name.
	Name string `json:"name" cbor:"1,keyasint"`
	// Incarnation is drawn at random when the process starts. A node that was
	// started again has lost its memory and is another member.
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
}

// Tenure is the record in the store that says who may dispatch a service's
// keyed requests.
type Tenure struct {
	// Epoch is the number of the latest tenure claimed.
	Epoch Epoch `json:"epoch"`
	// Holder is the member that claimed it.
	Holder Member `json:"holder"`
	// Started says that some tenure up to Epoch has dispatched requests or
	// may have; before that there is nothing to take over.
	Started bool `json:"started"`
	// Active says that Holder may dispatch. If not, it is still taking over.
	Active bool `json:"active"`
	// Dispatcher is the holder of the latest tenure that dispatched.
	Dispatcher Member `json:"dispatcher"`
	// Witnesses are the members each of whose copies is complete for the
	// latest tenure that dispatched.
	Witnesses []Member `json:"witnesses"`
}

// Claim numbers an attempt to dispatch a key.
type Claim struct {
	// Epoch is the tenure under which the claim was made.
	Epoch Epoch `cbor:"1,keyasint"`
	// Sequence numbers the claims of one tenure.
	Sequence uint64 `cbor:"2,keyasint"`
}

// after reports whether c was made after other.
func (c Claim) after(other Claim) bool {
	if c.Epoch != other.Epoch {
		return c.Epoch > other.Epoch
	}
	return c.Sequence > other.Sequence
}

// Key is a caller's idempotency key within one service.
type Key string

// DigestSize is the length of a Digest in bytes.
const DigestSize = 32

// Digest is the SHA-256 of what a request asks for: method, path and body.
type Digest [DigestSize]byte

// Answer is a whole answer kept for replay.
type Answer struct {
	// Status is the HTTP status.
	Status int `cbor:"1,keyasint"`
	// Header holds the end-to-end headers in order.
	Header []Field `cbor:"2,keyasint"`
	// Body is the whole body.
	Body []byte `cbor:"3,keyasint"`
}

// Field is one header field.
type Field struct {
	// Name and Value are as the target sent them.
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Size returns the answer's length in bytes, headers included; 0 for none.
func (a *Answer) Size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}
