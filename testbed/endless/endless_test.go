package endless

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// limitedWriter accepts remaining bytes and then fails like a closed connection.
type limitedWriter struct {
	remaining int
}

var errClosed = errors.New("closed")

func (w *limitedWriter) Write(p []byte) (int, error) {
	if w.remaining -= len(p); w.remaining < 0 {
		return 0, errClosed
	}
	return len(p), nil
}

func TestWritesUntilTheOtherEndCloses(t *testing.T) {
	for _, kind := range Kinds {
		n, err := Write(&limitedWriter{remaining: 1 << 20}, kind, "X-Request-Id: 1\r\n", "body", 0)
		qt.Check(t, err, qt.Equals, errClosed, qt.Commentf("%s", kind))
		qt.Check(t, n > 1<<19, qt.IsTrue, qt.Commentf("%s: %d bytes", kind, n))
	}
}
