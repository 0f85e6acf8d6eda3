// Package delta describes a text as the difference from another one, and compresses texts.
package delta

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxTextBytes limits the size of a text, so that a compressed text cannot exhaust the
// memory when it is decompressed.
const MaxTextBytes = 16 << 20

var (
	// ErrMismatch reports a Delta that does not produce the expected text.
	ErrMismatch = errors.New("delta does not produce the expected text")
	// ErrTextSize reports a text above MaxTextBytes.
	ErrTextSize = errors.New("text too large")
)

// Format determines the sections of a text, which are the units that a Delta copies. Both
// sides have to use the same one.
type Format struct {
	// start is what a section begins with, after lead bytes that still belong to the
	// section before; lead is 0 or 1.
	start []byte
	lead  int
}

var (
	// INI has a section for each line that begins with a bracket.
	INI = Format{start: []byte("\n["), lead: 1}
	// JSON has a section for each object.
	JSON = Format{start: []byte("{")}
)

// Edit is one step in building a text from an older one. It appends either
// consecutive sections of the old text or new bytes.
type Edit struct {
	// First is the index of the first copied section and Count the number of
	// copied sections. If Count is 0, the step appends Text.
	First int    `cbor:"1,keyasint,omitempty"`
	Count int    `cbor:"2,keyasint,omitempty"`
	Text  []byte `cbor:"3,keyasint,omitempty"`
}

// Delta holds the edits that turn one text into another.
type Delta struct {
	Edits []Edit `cbor:"1,keyasint"`
	// Sum is the SHA-256 of the resulting text.
	Sum [sha256.Size]byte `cbor:"2,keyasint"`
}

// bounds returns the offsets at which the sections of a text begin, and its length.
func (f Format) bounds(text []byte) []int {
	at := []int{0}
	for from := 0; from < len(text); {
		// A section has at least one byte.
		from += 1 - f.lead
		i := bytes.Index(text[from:], f.start)
		if i < 0 {
			break
		}
		from += i + f.lead
		at = append(at, from)
	}
	return append(at, len(text))
}

// sections splits a text.
func (f Format) sections(text []byte) [][]byte {
	if len(text) == 0 {
		return nil
	}
	bounds := f.bounds(text)
	out := make([][]byte, len(bounds)-1)
	for i := range out {
		out[i] = text[bounds[i]:bounds[i+1]]
	}
	return out
}

// Make returns the Delta from one text to another. It does not contain the sections that
// both texts have.
func Make(from, to []byte, f Format) Delta {
	old := f.sections(from)
	at := make(map[string]int, len(old))
	for i, s := range old {
		at[string(s)] = i
	}
	d := Delta{Sum: sha256.Sum256(to)}
	for _, s := range f.sections(to) {
		i, known := at[string(s)]
		if next := d.next(); known && next < len(old) && bytes.Equal(old[next], s) {
			i = next
		}
		d.add(i, known, s)
	}
	return d
}

// next returns the index of the section that continues the last edit, or 0.
func (d *Delta) next() int {
	if len(d.Edits) == 0 {
		return 0
	}
	last := d.Edits[len(d.Edits)-1]
	return last.First + last.Count
}

// add appends a section to the edits. It extends the last edit if the section
// continues that edit.
func (d *Delta) add(i int, known bool, section []byte) {
	var last *Edit
	if len(d.Edits) > 0 {
		last = &d.Edits[len(d.Edits)-1]
	}
	switch {
	case known && last != nil && last.Count > 0 && last.First+last.Count == i:
		last.Count++
	case known:
		d.Edits = append(d.Edits, Edit{First: i, Count: 1})
	case last != nil && last.Count == 0:
		last.Text = append(last.Text, section...)
	default:
		d.Edits = append(d.Edits, Edit{Text: bytes.Clone(section)})
	}
}

// Apply returns the new text. It fails if from is not the text that the Delta was made
// from.
func (d Delta) Apply(from []byte, f Format) ([]byte, error) {
	bounds := f.bounds(from)
	if len(from) == 0 {
		bounds = bounds[:1] // no sections
	}
	sections := len(bounds) - 1
	size := 0
	for _, e := range d.Edits {
		if e.First < 0 || e.Count < 0 || e.First > sections || e.Count > sections-e.First {
			return nil, ErrMismatch
		}
		if size += bounds[e.First+e.Count] - bounds[e.First] + len(e.Text); size > MaxTextBytes {
			return nil, ErrTextSize
		}
	}
	out := make([]byte, 0, size)
	for _, e := range d.Edits {
		out = append(out, from[bounds[e.First]:bounds[e.First+e.Count]]...)
		out = append(out, e.Text...)
	}
	if sha256.Sum256(out) != d.Sum {
		return nil, ErrMismatch
	}
	return out, nil
}

// Deflate compresses a text.
func Deflate(text []byte) ([]byte, error) {
	if len(text) > MaxTextBytes {
		return nil, ErrTextSize
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

// Inflate decompresses a text.
func Inflate(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, MaxTextBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress text")
	}
	if len(text) > MaxTextBytes {
		return nil, ErrTextSize
	}
	return text, nil
}
