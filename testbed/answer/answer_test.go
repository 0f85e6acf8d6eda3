package answer

import (
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

func TestCheck(t *testing.T) {
	body := DigestOf([]byte("rug"))
	complete := Make("r1", body, 500)
	tests := []struct {
		desc string
		got  []byte
		want error
	}{
		{desc: "whole", got: complete},
		{desc: "cut", got: complete[:499], want: ErrTruncated},
		{desc: "empty", got: nil, want: ErrTruncated},
		{desc: "too long", got: append(append([]byte{}, complete...), 'x'), want: ErrMismatch},
		{desc: "another request", got: Make("r2", body, 500), want: ErrMismatch},
		{desc: "another body", got: Make("r1", DigestOf([]byte("van")), 500), want: ErrMismatch},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			err := Check(tt.got, "r1", body, 500)
			qt.Assert(t, errors.Is(err, tt.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func TestMakeReturnsRequestedSize(t *testing.T) {
	qt.Assert(t, Make("r1", Digest{}, 1000), qt.HasLen, 1000)
}
