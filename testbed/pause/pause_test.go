package pause

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestUntilIsNeverEarly(t *testing.T) {
	for _, d := range []time.Duration{-time.Second, 0, time.Microsecond, time.Millisecond, 6 * time.Millisecond} {
		due := time.Now().Add(d)
		Until(due)
		qt.Assert(t, time.Now().Before(due), qt.IsFalse, qt.Commentf("%v", d))
	}
}
