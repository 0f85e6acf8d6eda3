package ingress

import (
	"bytes"
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange"
	"filbertmill.example/exchange/account"
)

const (
	// A body is read into segments. Those of a large one double up to maxSegmentBytes, so
	// that memory follows the bytes that have arrived and not the length announced.
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 1 << 20
)

// errBodyTooLarge is the error of a body that exceeds the limit.
var errBodyTooLarge = errors.New("the body exceeds the limit")

// errNoMemory is the error of a request whose reading was aborted since others need the
// memory.
var errNoMemory = account.ErrNoMemory

// readBody reads the body of a request whose head was read. A body without a byte is nil.
func (c *conn) readBody(r *protocol.Request, m *requestMemory, limit int) (*exchange.BufferedBody, error) {
	length := r.Header.ContentLength()
	if length == 0 || length == lengthNone {
		return nil, nil
	}
	if limit > 0 && length > limit {
		return nil, errBodyTooLarge
	}
	if r.MayContinue() {
		if err := c.sendContinue(); err != nil {
			return nil, err
		}
	}
	c.server.limitBodies(limit)
	c.reading.Progress()
	defer c.reading.EndWait()
	src, end := c.bodySource(length)
	segments, err := readSegments(src, m, length, limit)
	end()
	if err != nil {
		return nil, err
	}
	return exchange.NewBufferedBody(segments), nil
}

// Lengths that hertz reports for a body in chunks, and for a request without a body.
const (
	lengthChunked = -1
	lengthNone    = -2
)

// bodySource returns the reader of a body of the given length. What the codec has buffered
// comes first. The function end puts back what was read beyond the body's end.
func (c *conn) bodySource(length int) (src io.Reader, end func()) {
	buffered := make([]byte, c.nc.Len())
	if b, err := c.nc.Peek(len(buffered)); err == nil {
		copy(buffered, b)
		_ = c.nc.Skip(len(buffered))
	}
	before := bytes.NewReader(buffered)
	all := io.MultiReader(before, requestReader{c})
	rest := func() []byte { return nil }
	if length == lengthChunked {
		chunks := exchange.NewChunkedReader(all)
		src, rest = chunks, chunks.Rest
	} else {
		src = io.LimitReader(all, int64(length))
	}
	return src, func() {
		beyond := append([]byte(nil), rest()...)
		unread, _ := io.ReadAll(before) // reading from memory cannot fail
		c.socket.putBack(append(beyond, unread...))
	}
}

// readSegments reads a body to its end.
func readSegments(src io.Reader, m *requestMemory, length, limit int) ([][]byte, error) {
	var segments [][]byte
	size, read := minSegmentBytes, 0
	if length >= 0 && length <= smallBodyBytes {
		size = length
	}
	for {
		if length >= 0 {
			size = min(size, length-read)
		}
		if err := m.growBody(int64(size)); err != nil {
			return nil, err
		}
		segment := make([]byte, size)
		n, err := readFull(src, segment, m.holder)
		read += n
		if n > 0 {
			segments = append(segments, segment[:n])
		}
		switch {
		case limit > 0 && read > limit:
			return nil, errBodyTooLarge
		case read == length, errors.Is(err, io.EOF) && length < 0:
			return segments, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		size = min(2*size, maxSegmentBytes)
	}
}

// readFull reads until p is full or a read fails, and records the caller's progress.
func readFull(src io.Reader, p []byte, caller *account.Holder) (int, error) {
	total := 0
	for total < len(p) {
		n, err := src.Read(p[total:])
		total += n
		if n > 0 {
			caller.Progress()
		}
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// memoryRetryAfter is the Retry-After, in seconds, of a request that was refused while it
// was read.
const memoryRetryAfter = "1"
