package exchange

import (
	"context"
	"io"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"
)

// Lengths that hertz reports for a body without a stated length: a chunked body,
// and one that ends when the connection closes.
const (
	lengthChunked  = -1
	lengthIdentity = -2
)

// Body is the body of an answer. Read returns io.EOF only after the complete
// body was received; any other error is a *Failure. A Body is not safe for
// concurrent use.
type Body struct {
	ctx    context.Context
	cn     *conn
	src    io.Reader
	chunks *chunkedReader
	// reservation accounts for the memory of a body that is buffered. It is nil
	// otherwise.
	reservation *Reservation
	// stopInterrupt unregisters the interrupt of the connection at the context's
	// end. It returns false if the interrupt has already started.
	stopInterrupt func() bool
	length        int64
	limit         int64
	read          int64
	reusable      bool
	ended         bool
	endErr        error
}

// newBody returns the body that follows the headers r. It fails if the answer
// states no length and the call needs one, or if the stated length exceeds the
// call's limit.
func newBody(ctx context.Context, cn *conn, r *protocol.Response, call Call) (*Body, error) {
	limit := call.MaxResponseBytes
	b := &Body{ctx: ctx, cn: cn, limit: limit, stopInterrupt: func() bool { return true }}
	if r.MustSkipBody() {
		return b, nil
	}
	n := r.Header.ContentLength()
	if n == lengthIdentity && !call.Unframed {
		return nil, errNoLength
	}
	if limit > 0 && int64(n) > limit {
		return nil, errors.Wrapf(errTooLong, "stated length of %d bytes, limit %d", n, limit)
	}
	b.length = int64(n)
	switch n {
	case 0:
	case lengthChunked:
		b.chunks = newChunkedReader(cn)
		b.src = b.chunks
	case lengthIdentity:
		b.src = cn
	default:
		b.src = io.LimitReader(cn, int64(n))
	}
	return b, nil
}

// Length returns the stated length in bytes, or a negative number if none is
// stated.
func (b *Body) Length() int64 { return b.length }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, b.endErr
	}
	if b.src == nil {
		b.finish(io.EOF)
		return 0, b.endErr
	}
	if b.limit > 0 {
		// One byte beyond the limit shows that the body is too long.
		p = p[:min(int64(len(p)), b.limit-b.read+1)]
	}
	n, err := b.src.Read(p)
	b.read += int64(n)
	switch {
	case b.limit > 0 && b.read > b.limit:
		err = errors.Wrapf(errTooLong, "%d bytes read, limit %d", b.read, b.limit)
	case b.length >= 0 && b.read == b.length:
		err = io.EOF
	}
	if err != nil {
		b.finish(err)
	}
	return n, b.endErr
}

// Close ends the exchange. If the body was not read to its end, it closes the
// connection, which cannot be reused.
func (b *Body) Close() error {
	if !b.ended {
		b.finish(errors.New("the body was not read to its end"))
	}
	return nil
}

// finish records the end of the body, and keeps the connection for reuse or
// closes it. The body is complete only if err is io.EOF and all bytes of a
// stated length were read.
func (b *Body) finish(err error) {
	b.ended = true
	stopped := b.stopInterrupt()
	complete := errors.Is(err, io.EOF) && (b.length < 0 || b.read == b.length)
	if complete && b.reservation != nil {
		// After this call the memory budget no longer interrupts the connection, which
		// may then serve another exchange.
		if evicted := b.reservation.finishReading(); evicted != nil {
			complete, err = false, errors.Wrapf(evicted, "%d bytes read", b.read)
		}
	}
	if !complete {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		b.endErr = newFailure(b.ctx, StageReceive, err)
		b.cn.abort()
		return
	}
	b.endErr = io.EOF
	if !b.reusable || b.length == lengthIdentity || !stopped || b.hasExtraBytes() {
		b.cn.abort()
		return
	}
	b.cn.client.keep(b.cn)
}

// hasExtraBytes reports whether bytes beyond the body's end have arrived.
func (b *Body) hasExtraBytes() bool {
	return b.cn.Len() > 0 || b.chunks != nil && b.chunks.buffered() > 0
}

// requestBodyReader reads a request body that is sent to a target. Hertz's chunked
// writer sends the last chunk even if its reader fails, so that a truncated body
// would look complete to the target. Read therefore closes the connection on an
// error, before that last chunk can be sent.
type requestBodyReader struct {
	src io.Reader
	cn  *conn
	err error
}

// Read implements io.Reader. On an error other than io.EOF it closes the
// connection.
func (s *requestBodyReader) Read(p []byte) (int, error) {
	n, err := s.src.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.err = err
		s.cn.abort()
	}
	return n, err
}
