package exchange

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/cockroachdb/errors"
)

// maxTrailerBytes limits the trailers of one answer. They are discarded.
const maxTrailerBytes = 16 << 10

// ChunkedReader reads a body in chunks of a caller's request.
type ChunkedReader struct{ chunkedReader }

// NewChunkedReader returns a reader of a chunked body and its trailers, which it discards.
// Read returns io.EOF only after them.
func NewChunkedReader(src io.Reader) *ChunkedReader { return &ChunkedReader{*newChunkedReader(src)} }

// Rest returns the bytes that were read from the source beyond the body's end.
func (r *ChunkedReader) Rest() []byte {
	rest, _ := r.buf.Peek(r.buf.Buffered()) // what is buffered can be peeked
	return rest
}

// chunkedReader reads a chunked body and its trailers. It decodes the chunks with
// the standard library, which limits the length of size lines and extensions, and
// the ratio of framing bytes to body bytes. Hertz limits neither.
type chunkedReader struct {
	src    *errorRecorder
	buf    *bufio.Reader
	chunks io.Reader
}

func newChunkedReader(src io.Reader) *chunkedReader {
	recorder := &errorRecorder{Reader: src}
	buf := bufio.NewReader(recorder)
	return &chunkedReader{src: recorder, buf: buf, chunks: httputil.NewChunkedReader(buf)}
}

// Read implements io.Reader. It returns io.EOF only after the trailers were read
// too.
func (r *chunkedReader) Read(p []byte) (int, error) {
	n, err := r.chunks.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = r.skipTrailers()
	}
	switch {
	case err == nil:
		return n, io.EOF
	case errors.Is(r.src.err, io.EOF):
		return n, io.ErrUnexpectedEOF
	case r.src.err != nil:
		return n, r.src.err
	case isBreach(err):
		return n, err
	}
	return n, errors.Wrapf(errChunks, "%v", err)
}

// skipTrailers reads up to and including the empty line that ends the trailers.
func (r *chunkedReader) skipTrailers() error {
	var lineLength int
	var beforeLF byte
	for read := 0; read <= maxTrailerBytes; {
		text, err := r.buf.ReadSlice('\n')
		read += len(text)
		lineLength += len(text)
		if len(text) > 1 {
			beforeLF = text[len(text)-2]
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			beforeLF = text[len(text)-1]
		case err != nil:
			return err
		case beforeLF != '\r':
			return errors.Wrap(errChunks, "a line of the trailers ends without CR")
		case lineLength == len("\r\n"):
			return nil
		default:
			lineLength, beforeLF = 0, 0
		}
	}
	return errTrailers
}

// buffered returns the number of bytes that were read from the connection but
// not consumed; at the end of the body these lie beyond it.
func (r *chunkedReader) buffered() int { return r.buf.Buffered() }

// errorRecorder records the error of a Reader. It distinguishes a failed
// connection from bytes that cannot be decoded.
type errorRecorder struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (s *errorRecorder) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil {
		s.err = err
	}
	return n, err
}
