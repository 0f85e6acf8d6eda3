package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

func TestDecodeRefusals(t *testing.T) {
	valid, err := cbor.Marshal(Envelope{Version: Version, Kind: "k"})
	qt.Assert(t, err, qt.IsNil)
	otherVersion, err := cbor.Marshal(Envelope{Version: Version + 1, Kind: "k"})
	qt.Assert(t, err, qt.IsNil)
	noKind, err := cbor.Marshal(Envelope{Version: Version})
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		desc string
		data []byte
		want error
	}{
		{"valid", valid, nil},
		{"empty", nil, ErrMalformed},
		{"cut short", valid[:len(valid)-1], ErrMalformed},
		{"trailing bytes", append(bytes.Clone(valid), 0), ErrMalformed},
		{"other version", otherVersion, ErrVersion},
		{"no kind", noKind, ErrMalformed},
		{"too large", make([]byte, MaxMessageBytes+1), ErrTooLarge},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, err := Decode(test.data)
			qt.Assert(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// FuzzDecode checks that no input causes a panic, and that an accepted envelope
// is equal after encoding and decoding it again.
func FuzzDecode(f *testing.F) {
	seed, err := Encode(Envelope{Version: Version, Kind: "exchange", ID: 7, Body: cbor.RawMessage{0x01}})
	qt.Assert(f, err, qt.IsNil)
	f.Add(seed)
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(e)
		qt.Assert(t, err, qt.IsNil)
		back, err := Decode(again)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, back, qt.DeepEquals, e)
	})
}

func TestTimesKeepTheirNanoseconds(t *testing.T) {
	want := time.Date(2026, 12, 4, 2, 0, 0, 123456789, time.UTC)
	body, err := encoding.Marshal([]time.Time{want})
	qt.Assert(t, err, qt.IsNil)
	var got []time.Time
	qt.Assert(t, Unmarshal(body, &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, []time.Time{want})
}
