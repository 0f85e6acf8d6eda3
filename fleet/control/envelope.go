package control

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the envelope. A receiver ignores unknown fields
// and unknown kinds, so that only an incompatible envelope needs a new one.
const Version = 1

// MaxMessageBytes bounds one encoded message: a configuration of 1 MiB, the
// largest value of the platform's store, and its envelope.
const MaxMessageBytes = 1<<20 + 64<<10

// Kind names a message type. Both ends agree on the body's type by it.
type Kind string

// Envelope is the outer form of every message.
type Envelope struct {
	// Version is the envelope's version.
	Version uint8 `cbor:"1,keyasint"`
	// Kind names the type of Body.
	Kind Kind `cbor:"2,keyasint"`
	// ID ties a reply to its call; zero means that no reply is expected.
	ID uint64 `cbor:"3,keyasint,omitempty"`
	// Reply marks an answer to the call with the same ID.
	Reply bool `cbor:"4,keyasint,omitempty"`
	// Error is the failure of a call, empty on success.
	Error string `cbor:"5,keyasint,omitempty"`
	// Body is the encoded message.
	Body cbor.RawMessage `cbor:"6,keyasint,omitempty"`
}

// Errors of decoding.
var (
	// ErrTooLarge reports a message above MaxMessageBytes.
	ErrTooLarge = errors.New("control message too large")
	// ErrVersion reports an envelope of another version.
	ErrVersion = errors.New("control envelope of an unknown version")
	// ErrMalformed reports bytes that are no envelope.
	ErrMalformed = errors.New("malformed control envelope")
)

var decoding = mustDecMode(cbor.DecOptions{
	MaxNestedLevels:  16,
	MaxArrayElements: 1 << 17,
	MaxMapPairs:      1 << 16,
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
})

// encoding keeps times to the nanosecond.
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

// Decode reads an envelope. Errors are ErrTooLarge, ErrMalformed and ErrVersion.
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
