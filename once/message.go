package once

import "time"

// Message is sent by a Home to one witness. It is one of Enlist, Seal,
// Install, Intent, Done and Release.
type Message interface{ message() }

// Enlist asks a node for its incarnation and its state as a witness. A home sends
// it to find witnesses, as a heartbeat to its witnesses, and to confirm that no
// other home has taken over.
type Enlist struct{}

// Seal makes the witness refuse every lower epoch and return its copy.
type Seal struct {
	// Epoch and Holder are those of the new tenure.
	Epoch  Epoch  `cbor:"1,keyasint"`
	Holder Member `cbor:"2,keyasint"`
}

// Install makes the node a witness of a tenure, with a copy of all keys known so far.
type Install struct {
	// Epoch and Holder are those of the tenure.
	Epoch  Epoch  `cbor:"1,keyasint"`
	Holder Member `cbor:"2,keyasint"`
	// Copy replaces what the witness held.
	Copy Copy `cbor:"3,keyasint"`
}

// Intent records that a key may be dispatched from now on.
type Intent struct {
	// Key, Digest and Claim are those of the request that is claimed.
	Key    Key    `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	Claim  Claim  `cbor:"3,keyasint"`
}

// Done records that the request of a claimed key ended with a complete answer.
type Done struct {
	// Key and Claim are those of the request that ended.
	Key   Key   `cbor:"1,keyasint"`
	Claim Claim `cbor:"2,keyasint"`
	// Answer is nil if it is not kept.
	Answer *Answer `cbor:"3,keyasint,omitempty"`
}

// Release withdraws a claim whose request was certainly not run.
type Release struct {
	// Key and Claim are those of the request that was not run.
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
	// StatusSealed means that the message had no effect: the witness serves another
	// tenure, or holds no such claim.
	StatusSealed
	// StatusRestarted means that the message was for another incarnation: the
	// copy that its sender relies on is lost.
	StatusRestarted
	// StatusFull means that the witness cannot keep another key.
	StatusFull
)

// Ack is a witness's answer to a Message.
type Ack struct {
	// Status states whether the message took effect.
	Status Status `cbor:"1,keyasint"`
	// Member is the witness with its current incarnation.
	Member Member `cbor:"2,keyasint"`
	// Epoch is the highest epoch that the witness has seen, Holder the member
	// that claimed it, and Installed the epoch that it is a witness of.
	Epoch     Epoch  `cbor:"3,keyasint"`
	Holder    Member `cbor:"7,keyasint"`
	Installed Epoch  `cbor:"4,keyasint"`
	// Leaving is set if the node is shutting down and should be replaced.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Copy is the witness's copy; set in the answer to a Seal that took effect.
	Copy *Copy `cbor:"6,keyasint,omitempty"`
}

// Copy is all that is known about a service's keys.
type Copy struct {
	// Records holds one record for each key that may have been dispatched.
	Records []Record `cbor:"1,keyasint"`
	// LostLeft is how much longer keys that are not in Records must be treated as
	// dispatched, because an earlier copy was lost.
	LostLeft time.Duration `cbor:"2,keyasint"`
}

// Record is what is known about one key.
type Record struct {
	// Key, Digest and Claim are those of the request that was claimed.
	Key    Key    `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
	Claim  Claim  `cbor:"3,keyasint"`
	// Done is set if the request was run and its answer was complete.
	Done bool `cbor:"4,keyasint,omitempty"`
	// Answer is that answer, unless it is not kept.
	Answer *Answer `cbor:"5,keyasint,omitempty"`
	// Left is how much longer the key is kept.
	Left time.Duration `cbor:"6,keyasint"`
}
