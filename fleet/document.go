package fleet

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ConfigurationKey is the store's key of the newest configuration.
const ConfigurationKey = "filbertmill/configuration"

// Version identifies a configuration and orders it among the others.
type Version struct {
	// Revision is the place in the order of changes; 0 is no configuration.
	Revision int64 `cbor:"1,keyasint" json:"revision"`
	// ChangeID identifies the change. It orders two changes that got the same
	// revision because the store was restored in between.
	ChangeID string `cbor:"2,keyasint" json:"change_id"`
}

// Compare returns a positive number if v replaces other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Revision, other.Revision), cmp.Compare(v.ChangeID, other.ChangeID))
}

// Newer reports whether v replaces other.
func (v Version) Newer(other Version) bool { return v.Compare(other) > 0 }

// String returns the version for people.
func (v Version) String() string { return fmt.Sprintf("%d (%s)", v.Revision, v.ChangeID) }

// HistoryKey is the store's key that keeps the version for good.
func (v Version) HistoryKey() string {
	return fmt.Sprintf("filbertmill/history/%012d-%s", v.Revision, v.ChangeID)
}

// Document is one accepted configuration as the nodes keep it.
type Document struct {
	// Version identifies the document.
	Version Version
	// Previous is the version that it replaced; zero for the first.
	Previous Version
	// Author and Note say who made the change and why.
	Author string
	Note   string
	// Time is when the change was made, by the author's clock.
	Time time.Time
	// Text is the configuration in INI.
	Text []byte
}

// packedDocument is the form in which a document is stored and sent. It has
// either the whole text, compressed, or a delta from an older version's text.
type packedDocument struct {
	Version  Version   `cbor:"1,keyasint"`
	Previous Version   `cbor:"2,keyasint"`
	Author   string    `cbor:"3,keyasint"`
	Note     string    `cbor:"4,keyasint,omitempty"`
	Time     time.Time `cbor:"5,keyasint"`
	Deflated []byte    `cbor:"6,keyasint,omitempty"`
	// Base is the version that Delta leads from; zero if there is no delta.
	Base  Version `cbor:"7,keyasint"`
	Delta delta   `cbor:"8,keyasint"`
}

// pack returns the sent form without a text.
func (d Document) pack() packedDocument {
	return packedDocument{Version: d.Version, Previous: d.Previous, Author: d.Author, Note: d.Note, Time: d.Time}
}

// packWhole returns the sent form with the whole text.
func (d Document) packWhole() (packedDocument, error) {
	p := d.pack()
	var err error
	p.Deflated, err = deflate(d.Text)
	return p, err
}

// packDelta returns the sent form with the delta from an older document.
func (d Document) packDelta(base Document) packedDocument {
	p := d.pack()
	p.Base = base.Version
	p.Delta = diffText(base.Text, d.Text)
	return p
}

// unpack returns the document; base is the one that the receiver has.
func (p packedDocument) unpack(base Document) (Document, error) {
	d := Document{Version: p.Version, Previous: p.Previous, Author: p.Author, Note: p.Note, Time: p.Time}
	if d.Version.Revision <= 0 || d.Version.ChangeID == "" {
		return Document{}, errors.Newf("configuration without a version")
	}
	var err error
	switch {
	case p.Base == Version{}:
		d.Text, err = inflate(p.Deflated)
	case p.Base != base.Version:
		err = errDelta
	default:
		d.Text, err = p.Delta.apply(base.Text)
	}
	return d, err
}

// Encode returns the stored form.
func (d Document) Encode() ([]byte, error) {
	p, err := d.packWhole()
	if err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(p)
	return data, errors.Wrap(err, "encode configuration")
}

// DecodeDocument reads the stored form.
func DecodeDocument(data []byte) (Document, error) {
	var p packedDocument
	if err := cbor.Unmarshal(data, &p); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	return p.unpack(Document{})
}
