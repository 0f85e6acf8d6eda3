package answer

import (
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

func TestCheck(t *testing.T) {
	body := DigestOf([]byte("rug"))
	whole := Make("r1", body, 500)
	tests := []struct {
		desc string
		got  []byte
		want error
	}{
		{desc: "whole", got: whole},
		{desc: "cut", got: whole[:499], want: ErrCut},
		{desc: "empty", got: nil, want: ErrCut},
		{desc: "too long", got: append(append([]byte{}, whole...), 'x'), want: ErrMixed},
		{desc: "another request", got: Make("r2", body, 500), want: ErrMixed},
		{desc: "another body", got: Make("r1", DigestOf([]byte("van")), 500), want: ErrMixed},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			err := Check(tt.got, "r1", body, 500)
			qt.Assert(t, errors.Is(err, tt.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func TestMakeHasTheSizeAskedFor(t *testing.T) {
	qt.Assert(t, Make("r1", Digest{}, 1000), qt.HasLen, 1000)
}
