package content

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"filbertmill.example/fleet/delta"
)

// ID identifies encoded content: two Blobs with the same ID have the same bytes. It is 0
// for no content.
type ID uint64

// Blob is encoded content.
type Blob struct {
	ID   ID
	Data []byte
}

// NewBlob returns a Blob with the given bytes.
func NewBlob(data []byte) Blob { return Blob{ID: idOf(data), Data: data} }

func idOf(data []byte) ID { return ID(xxhash.Sum64(data)) }

// EncodeValue encodes a value as the difference from base, or whole if base is nil.
func EncodeValue(base, value []byte) (Blob, error) {
	encoded, err := cbor.Marshal(delta.Make(base, value, delta.JSON))
	if err != nil {
		return Blob{}, errors.Wrap(err, "encode value")
	}
	data, err := delta.Deflate(encoded)
	return NewBlob(data), err
}

// DecodeValue returns the value that EncodeValue encoded with the same base. It fails if
// base is another one.
func DecodeValue(base, data []byte) ([]byte, error) {
	var d delta.Delta
	if err := decode(data, &d); err != nil {
		return nil, err
	}
	return d.Apply(base, delta.JSON)
}

// EncodeList encodes a list of any kind.
func EncodeList[T any](list []T) (Blob, error) {
	encoded, err := cbor.Marshal(list)
	if err != nil {
		return Blob{}, errors.Wrap(err, "encode list")
	}
	data, err := delta.Deflate(encoded)
	return NewBlob(data), err
}

// DecodeList returns the list that EncodeList encoded.
func DecodeList[T any](data []byte) ([]T, error) {
	var list []T
	return list, decode(data, &list)
}

func decode(data []byte, into any) error {
	encoded, err := delta.Inflate(data)
	if err != nil {
		return err
	}
	return errors.Wrap(cbor.Unmarshal(encoded, into), "decode content")
}
