package fleet

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"io"

	"github.com/cockroachdb/errors"
)

// maxTextBytes limits the text of a configuration, so that a compressed text
// cannot exhaust the memory when it is decompressed.
const maxTextBytes = 16 << 20

var (
	errDelta    = errors.New("configuration delta does not produce the expected text")
	errTextSize = errors.New("configuration text too large")
)

// edit is one step in building a text from an older one. It appends either
// consecutive sections of the old text or new bytes.
type edit struct {
	// First is the index of the first copied section and Count the number of
	// copied sections. If Count is 0, the step appends Text.
	First int    `cbor:"1,keyasint,omitempty"`
	Count int    `cbor:"2,keyasint,omitempty"`
	Text  []byte `cbor:"3,keyasint,omitempty"`
}

// delta holds the edits that turn one text into another.
type delta struct {
	Edits []edit `cbor:"1,keyasint"`
	// Sum is the SHA-256 of the resulting text.
	Sum [sha256.Size]byte `cbor:"2,keyasint"`
}

// splitSections splits a text before each line that begins with a bracket.
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

// diffText returns the delta from one text to another. The delta does not
// contain the sections that both texts have.
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

// add appends a section to the edits. It extends the last edit if the section
// continues that edit.
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

// apply returns the new text. It fails if from is not the text that the delta
// was made from.
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

// inflate decompresses a text.
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
