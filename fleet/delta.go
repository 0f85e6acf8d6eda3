package fleet

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"io"

	"github.com/cockroachdb/errors"
)

// maxTextBytes bounds the text of a configuration, so that a compressed one
// cannot fill the memory.
const maxTextBytes = 16 << 20

var (
	errDelta    = errors.New("the difference does not lead to the stated text")
	errTextSize = errors.New("configuration text too large")
)

// edit is one step in building a text from an older one: either a run of the
// old text's sections or new bytes.
type edit struct {
	// First and Count name the run; Count 0 means that Text is new.
	First int    `cbor:"1,keyasint,omitempty"`
	Count int    `cbor:"2,keyasint,omitempty"`
	Text  []byte `cbor:"3,keyasint,omitempty"`
}

// delta leads from one text to another.
type delta struct {
	Edits []edit `cbor:"1,keyasint"`
	// Sum is the SHA-256 of the resulting text.
	Sum [sha256.Size]byte `cbor:"2,keyasint"`
}

// splitSections cuts a text before each line that begins with a bracket.
func splitSections(text []byte) [][]byte {
	var out [][]byte
	for len(text) > 0 {
		i := bytes.Index(text, []byte("\n["))
		if i < 0 {
			return append(out, text)
		}
		out = append(out, text[:i+1])
		text = text[i+1:]
	}
	return out
}

// diffText returns the delta between two texts; sections that both have are
// not repeated.
func diffText(from, to []byte) delta {
	at := make(map[string]int)
	for i, s := range splitSections(from) {
		at[string(s)] = i
	}
	d := delta{Sum: sha256.Sum256(to)}
	for _, s := range splitSections(to) {
		i, known := at[string(s)]
		d.add(i, known, s)
	}
	return d
}

// add appends a section, joining it to the last edit if that goes on with it.
func (d *delta) add(i int, known bool, section []byte) {
	var last *edit
	if len(d.Edits) > 0 {
		last = &d.Edits[len(d.Edits)-1]
	}
	switch {
	case known && last != nil && last.Count > 0 && last.First+last.Count == i:
		last.Count++
	case known:
		d.Edits = append(d.Edits, edit{First: i, Count: 1})
	case last != nil && last.Count == 0:
		last.Text = append(last.Text, section...)
	default:
		d.Edits = append(d.Edits, edit{Text: bytes.Clone(section)})
	}
}

// apply builds the new text. It fails if the old text is not the one that the
// delta was made from.
func (d delta) apply(from []byte) ([]byte, error) {
	sections := splitSections(from)
	var out []byte
	for _, e := range d.Edits {
		if e.First < 0 || e.Count < 0 || e.First > len(sections) || e.Count > len(sections)-e.First {
			return nil, errDelta
		}
		for _, s := range sections[e.First : e.First+e.Count] {
			out = append(out, s...)
		}
		out = append(out, e.Text...)
		if len(out) > maxTextBytes {
			return nil, errTextSize
		}
	}
	if sha256.Sum256(out) != d.Sum {
		return nil, errDelta
	}
	return out, nil
}

// deflate compresses a text.
func deflate(text []byte) ([]byte, error) {
	if len(text) > maxTextBytes {
		return nil, errTextSize
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	err = w.Close()
	return b.Bytes(), err
}

// inflate reverses deflate.
func inflate(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, maxTextBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	if len(text) > maxTextBytes {
		return nil, errTextSize
	}
	return text, nil
}
