package control

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the envelope. A receiver ignores unknown fields and
// kinds, so that only an incompatible envelope needs a new version.
const Version = 1

// MaxMessageBytes is the largest size of an encoded message: a configuration of
// 1 MiB, which is the largest value in the platform's store, and its envelope.
const MaxMessageBytes = 1<<20 + 64<<10

// Kind is the name of a message type. It determines the type of the body.
type Kind string

// Envelope is the form in which every message is sent.
type Envelope struct {
	// Version is the envelope's version.
	Version uint8 `cbor:"1,keyasint"`
	// Kind determines the type of Body.
	Kind Kind `cbor:"2,keyasint"`
	// ID matches a reply with its call; zero means that no reply is expected.
	ID uint64 `cbor:"3,keyasint,omitempty"`
	// Reply is set in the reply to the call with the same ID.
	Reply bool `cbor:"4,keyasint,omitempty"`
	// Error is the error of a call, empty on success.
	Error string `cbor:"5,keyasint,omitempty"`
	// Body is the encoded message.
	Body cbor.RawMessage `cbor:"6,keyasint,omitempty"`
}

// Errors of encoding, decoding and the handshake.
var (
	// ErrTooLarge reports a message larger than MaxMessageBytes.
	ErrTooLarge = errors.New("control message too large")
	// ErrVersion reports an envelope or handshake of another version.
	ErrVersion = errors.New("control envelope has an unsupported version")
	// ErrMalformed reports bytes that are not a valid envelope or handshake.
	ErrMalformed = errors.New("malformed control envelope")
)

var decoding = mustDecMode(cbor.DecOptions{
	MaxNestedLevels:  16,
	MaxArrayElements: 1 << 17,
	MaxMapPairs:      1 << 16,
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
})

// encoding preserves the nanoseconds of times.
var encoding = mustEncMode(cbor.EncOptions{Time: cbor.TimeRFC3339Nano})

func mustEncMode(o cbor.EncOptions) cbor.EncMode {
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the encoded form of an envelope, or ErrTooLarge.
func Encode(e Envelope) ([]byte, error) {
	data, err := encoding.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode control envelope")
	}
	if len(data) > MaxMessageBytes {
		return nil, ErrTooLarge
	}
	return data, nil
}

// Decode decodes an envelope. Errors are ErrTooLarge, ErrMalformed and ErrVersion.
func Decode(data []byte) (Envelope, error) {
	if len(data) > MaxMessageBytes {
		return Envelope{}, ErrTooLarge
	}
	var e Envelope
	if err := decoding.Unmarshal(data, &e); err != nil {
		return Envelope{}, errors.Mark(errors.Wrap(err, "decode"), ErrMalformed)
	}
	if e.Version != Version {
		return Envelope{}, ErrVersion
	}
	if e.Kind == "" {
		return Envelope{}, ErrMalformed
	}
	return e, nil
}

// Unmarshal decodes the body of a message.
func Unmarshal(body []byte, into any) error {
	return errors.Wrap(decoding.Unmarshal(body, into), "decode control message")
}
