package fleet

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"filbertmill.example/fleet/delta"
)

// ConfigurationKey is the key of the newest configuration in the store.
const ConfigurationKey = "filbertmill/configuration"

// Version identifies a configuration and orders it among the others.
type Version struct {
	// Revision is the number that an accepted change of the configuration gets;
	// it is higher than that of the change before. 0 means no configuration.
	Revision int64 `cbor:"1,keyasint" json:"revision"`
	// ChangeID identifies the change. It orders two changes that got the same
	// revision because the store was restored between them.
	ChangeID string `cbor:"2,keyasint" json:"change_id"`
}

// Compare returns a positive number if v is newer than other, 0 if they are
// equal and a negative number if v is older.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Revision, other.Revision), cmp.Compare(v.ChangeID, other.ChangeID))
}

// Newer reports whether v is newer than other and thus replaces it.
func (v Version) Newer(other Version) bool { return v.Compare(other) > 0 }

// String returns a readable form of the version.
func (v Version) String() string { return fmt.Sprintf("%d (%s)", v.Revision, v.ChangeID) }

// HistoryKey returns the key under which the store keeps the version permanently.
func (v Version) HistoryKey() string {
	return fmt.Sprintf("filbertmill/history/%012d-%s", v.Revision, v.ChangeID)
}

// Document is one accepted configuration.
type Document struct {
	// Version identifies the document.
	Version Version
	// Previous is the version that it replaced; zero for the first.
	Previous Version
	// Author is who made the change and Note is the reason.
	Author string
	Note   string
	// Time is when the change was made, by the clock of the author's machine.
	Time time.Time
	// Text is the configuration in INI.
	Text []byte
}

// packedDocument is the form in which a document is stored and sent. It holds
// either the complete text, compressed, or a delta from the text of an older
// version.
type packedDocument struct {
	Version  Version   `cbor:"1,keyasint"`
	Previous Version   `cbor:"2,keyasint"`
	Author   string    `cbor:"3,keyasint"`
	Note     string    `cbor:"4,keyasint,omitempty"`
	Time     time.Time `cbor:"5,keyasint"`
	Deflated []byte    `cbor:"6,keyasint,omitempty"`
	// Base is the version to which Delta applies; zero if there is no delta.
	Base  Version     `cbor:"7,keyasint"`
	Delta delta.Delta `cbor:"8,keyasint"`
}

// packHeader returns the packed document without its text.
func (d Document) packHeader() packedDocument {
	return packedDocument{Version: d.Version, Previous: d.Previous, Author: d.Author, Note: d.Note, Time: d.Time}
}

// packFull returns the packed document with the complete text.
func (d Document) packFull() (packedDocument, error) {
	p := d.packHeader()
	var err error
	p.Deflated, err = delta.Deflate(d.Text)
	return p, err
}

// packDelta returns the packed document with the delta from an older document.
func (d Document) packDelta(base Document) packedDocument {
	p := d.packHeader()
	p.Base = base.Version
	p.Delta = delta.Make(base.Text, d.Text, delta.INI)
	return p
}

// unpack returns the document. base is the document that the receiver has; a
// delta from any other version fails with delta.ErrMismatch.
func (p packedDocument) unpack(base Document) (Document, error) {
	d := Document{Version: p.Version, Previous: p.Previous, Author: p.Author, Note: p.Note, Time: p.Time}
	if d.Version.Revision <= 0 || d.Version.ChangeID == "" {
		return Document{}, errors.Newf("configuration without a version")
	}
	var err error
	switch {
	case p.Base == Version{}:
		d.Text, err = delta.Inflate(p.Deflated)
	case p.Base != base.Version:
		err = delta.ErrMismatch
	default:
		d.Text, err = p.Delta.Apply(base.Text, delta.INI)
	}
	return d, err
}

// Encode returns the form of the document in the store.
func (d Document) Encode() ([]byte, error) {
	p, err := d.packFull()
	if err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(p)
	return data, errors.Wrap(err, "encode configuration")
}

// DecodeDocument decodes a document from its form in the store.
func DecodeDocument(data []byte) (Document, error) {
	var p packedDocument
	if err := cbor.Unmarshal(data, &p); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	return p.unpack(Document{})
}
