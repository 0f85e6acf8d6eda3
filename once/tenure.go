package once

// Epoch numbers the tenures of one service. It is a fencing epoch: a tenure ends
// once there is one with a higher epoch.
type Epoch uint64

// Revision is the store's version of a record. A write succeeds only if the
// record's revision has not changed since it was read; 0 means that there is no
// record.
type Revision int64

// Member is one run of one node's process.
type Member struct {
	// Name is the node's name.
	Name string `json:"name" cbor:"1,keyasint"`
	// Incarnation is a random number drawn when the process starts. A restarted
	// node has lost its memory and is another member.
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
}

// Tenure is the record in the store that states which member has the exclusive
// right to dispatch a service's keyed requests, under which fencing epoch.
type Tenure struct {
	// Epoch is the epoch of the latest tenure claimed.
	Epoch Epoch `json:"epoch"`
	// Holder is the member that claimed it.
	Holder Member `json:"holder"`
	// Started is set if some tenure up to Epoch has dispatched requests, or may
	// have. Otherwise there is nothing to take over.
	Started bool `json:"started"`
	// Active is set if Holder may dispatch. If not, it is still taking over.
	Active bool `json:"active"`
	// Dispatcher is the holder of the latest tenure that dispatched.
	Dispatcher Member `json:"dispatcher"`
	// Witnesses are the witnesses of the latest tenure that dispatched. The copy of
	// each of them is complete.
	Witnesses []Member `json:"witnesses"`
}

// Claim identifies an attempt to dispatch a key.
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

// Digest is the SHA-256 of a request's method, path and body.
type Digest [DigestSize]byte

// Answer is a complete answer kept for replay.
type Answer struct {
	// Status is the HTTP status.
	Status int `cbor:"1,keyasint"`
	// Header holds the end-to-end headers in order.
	Header []Field `cbor:"2,keyasint"`
	// Body is the complete body.
	Body []byte `cbor:"3,keyasint"`
}

// Field is one header field.
type Field struct {
	// Name and Value are as the target sent them.
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Size returns the answer's length in bytes, headers included, or 0 if a is nil.
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
