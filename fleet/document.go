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

// Document is one accepted configuration as the store and the nodes keep it.
type Document struct {
	// Version identifies the document.
	Version Version `cbor:"1,keyasint"`
	// Previous is the version that it replaced; zero for the first.
	Previous Version `cbor:"2,keyasint"`
	// Author and Note say who made the change and why.
	Author string `cbor:"3,keyasint"`
	Note   string `cbor:"4,keyasint,omitempty"`
	// Time is when the change was made, by the author's clock.
	Time time.Time `cbor:"5,keyasint"`
	// Text is the configuration in INI.
	Text []byte `cbor:"6,keyasint"`
}

// Encode returns the stored form.
func (d Document) Encode() ([]byte, error) {
	data, err := cbor.Marshal(d)
	return data, errors.Wrap(err, "encode configuration")
}

// DecodeDocument reads the stored form.
func DecodeDocument(data []byte) (Document, error) {
	var d Document
	if err := cbor.Unmarshal(data, &d); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	if d.Version.Revision <= 0 || d.Version.ChangeID == "" {
		return Document{}, errors.Newf("configuration without a version")
	}
	return d, nil
}
