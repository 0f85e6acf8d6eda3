package content

import (
	"github.com/cockroachdb/errors"
)

// PartBytes is the size of the largest Part. A link of 10 Mbit/s carries it in 26 ms, for
// which other messages on the same connection wait.
const PartBytes = 32 << 10

// maxBlobBytes limits what a receiver collects: a copy of the store at the size to design
// for is encoded in about 2 MiB.
const maxBlobBytes = 8 << 20

// Part is a run of the bytes of a Blob.
type Part struct {
	ID     ID     `cbor:"1,keyasint,omitempty"`
	Offset int    `cbor:"2,keyasint,omitempty"`
	Bytes  []byte `cbor:"3,keyasint,omitempty"`
	// Size is the size of the whole Blob.
	Size int `cbor:"4,keyasint,omitempty"`
}

// Part returns the part that begins at an offset. It begins at 0 if there is none.
func (b Blob) Part(offset int) Part {
	if offset < 0 || offset >= len(b.Data) {
		offset = 0
	}
	return Part{ID: b.ID, Offset: offset, Bytes: b.Data[offset:min(offset+PartBytes, len(b.Data))], Size: len(b.Data)}
}

var errPart = errors.New("a part of content does not fit")

// Assembly collects the parts of one Blob. Its zero value has none.
type Assembly struct {
	id   ID
	data []byte
	size int
}

// Next returns which part is needed next.
func (a *Assembly) Next() (ID, int) { return a.id, len(a.data) }

// Add adds a part. One of another Blob begins anew, if it is the first of that Blob. Add
// returns the whole content once it is complete, or else nil. After an error the Assembly
// is empty.
func (a *Assembly) Add(p Part) ([]byte, error) {
	if p.ID != a.id && p.Offset == 0 {
		*a = Assembly{id: p.ID, size: p.Size}
	}
	switch {
	case p.ID == 0 || p.ID != a.id || p.Offset != len(a.data) || p.Size != a.size,
		len(p.Bytes) == 0 || p.Size > maxBlobBytes || len(p.Bytes) > p.Size-p.Offset:
		*a = Assembly{}
		return nil, errors.Wrapf(errPart, "%d bytes at %d of %d", len(p.Bytes), p.Offset, p.Size)
	}
	a.data = append(a.data, p.Bytes...)
	if len(a.data) < a.size {
		return nil, nil
	}
	whole, id := a.data, a.id
	*a = Assembly{}
	if idOf(whole) != id {
		return nil, errors.Wrapf(errPart, "%d bytes are not those of the content", len(whole))
	}
	return whole, nil
}
