package exchange

import "github.com/cloudwego/hertz/pkg/network"

// directBytes is the size from which on the codec's connection refers to what is written
// instead of copying it.
const directBytes = 4 << 10

// DirectWriter writes to a codec's connection so that it keeps no reference to what was
// written. By itself, it keeps the last large piece until something else is written, which
// may be the body of a message that nobody needs any more.
type DirectWriter struct{ network.Conn }

// WriteBinary implements network.Writer.
func (w DirectWriter) WriteBinary(b []byte) (int, error) {
	if len(b) < directBytes {
		return w.Conn.WriteBinary(b)
	}
	return w.Write(b)
}
