package once

import "time"

// Message is sent by a Home to one witness. It is one of Enlist, Seal,
// Install, Intent, Done and Release.
type Message interface{ message() }

// Enlist asks a node for its incarnation and how far it is.
type Enlist struct{}

// Seal makes the witness refuse every lower epoch and return its copy.
type Seal struct {
	// Epoch and Holder are those of the new tenure.
	Epoch  Epoch  `cbor:"1,keyasint"`
	Holder Member `cbor:"2,keyasint"`
}

// Install makes the node a witness of a tenure, with all that is known so far.
type Install struct {
	// Epoch and Holder are those of the tenure.
	Epoch  Epoch  `cbor:"1,keyasint"`
	Holder Member `cbor:"2,keyasint"`
	// Copy replaces what the witness held.
	Copy Copy `cbor:"3,keyasint"`
}

// Intent records that a key may be dispatched from now on.
type Intent struct {
	// Key, Digest and Claim say what is claimed.
	Key    Key    `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	Claim  Claim  `cbor:"3,keyasint"`
}

// Done records the answer of a claimed key.
type Done struct {
	// Key and Claim say what ended.
	Key   Key   `cbor:"1,keyasint"`
	Claim Claim `cbor:"2,keyasint"`
	// Answer is nil if it is not kept.
	Answer *Answer `cbor:"3,keyasint,omitempty"`
}

// Release withdraws a claim whose request was certainly not run.
type Release struct {
	// Key and Claim say what is withdrawn.
	Key   Key   `cbor:"1,keyasint"`
	Claim Claim `cbor:"2,keyasint"`
}

func (Enlist) message()  {}
func (Seal) message()    {}
func (Install) message() {}
func (Intent) message()  {}
func (Done) message()    {}
func (Release) message() {}

// Status is a witness's answer to a Message.
type Status uint8

// The answers of a witness.
const (
	// StatusAccepted means that the message took effect.
	StatusAccepted Status = iota + 1
	// StatusSealed means that the witness serves another tenure.
	StatusSealed
	// StatusRestarted means that the message was for another incarnation: the
	// copy that its sender counts on is gone.
	StatusRestarted
	// StatusFull means that the witness has no place left.
	StatusFull
)

// Ack is a witness's answer to a Message.
type Ack struct {
	// Status says whether the message took effect.
	Status Status `cbor:"1,keyasint"`
	// Member is the witness as it is now.
	Member Member `cbor:"2,keyasint"`
	// Epoch is the highest epoch that the witness has seen, Holder the member
	// that claimed it, and Installed the epoch that it is a witness of.
	Epoch     Epoch  `cbor:"3,keyasint"`
	Holder    Member `cbor:"7,keyasint"`
	Installed Epoch  `cbor:"4,keyasint"`
	// Leaving says that the node is going down and should be replaced.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Copy is what the witness holds; set in the answer to a Seal.
	Copy *Copy `cbor:"6,keyasint,omitempty"`
}

// Copy is all that is known of a service's keys.
type Copy struct {
	// Records holds one record for each key that may have been dispatched.
	Records []Record `cbor:"1,keyasint"`
	// LostLeft is how long keys that are not in Records must still be taken
	// for dispatched, because an earlier copy was lost.
	LostLeft time.Duration `cbor:"2,keyasint"`
}

// Record is what is known of one key.
type Record struct {
	// Key, Digest and Claim say what was claimed.
	Key    Key    `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	Claim  Claim  `cbor:"3,keyasint"`
	// Done says that the request was run to a whole answer.
	Done bool `cbor:"4,keyasint,omitempty"`
	// Answer is that answer, unless it was too long to keep.
	Answer *Answer `cbor:"5,keyasint,omitempty"`
	// Left is how long the key is still remembered.
	Left time.Duration `cbor:"6,keyasint"`
}
