package node

import (
	"bytes"
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange"
)

// replayLimit is the size, in bytes, up to which bodies are held in memory. A
// request with such a body can be sent again, and a truncated answer is detected
// before any of it was sent to the caller.
const replayLimit = 64 << 10

var errBodyTooLarge = errors.New("the request body exceeds the route's limit")

// requestBody is a request body, held in memory if it is small. length is the
// length of a streamed body in bytes, or -1 if it is unknown.
type requestBody struct {
	small  []byte
	stream io.Reader
	length int
	sent   bool
	// head is the start of a streamed body.
	head []byte
}

// readRequestBody reads a small body completely, and of a large one the start.
func readRequestBody(ctx *app.RequestContext, limit int64) (*requestBody, error) {
	length := ctx.Request.Header.ContentLength()
	if limit > 0 && int64(length) > limit {
		return nil, errBodyTooLarge
	}
	if !ctx.Request.IsBodyStream() {
		return &requestBody{small: bytes.Clone(ctx.Request.Body())}, nil
	}
	src := ctx.Request.BodyStream()
	if length >= 0 {
		// hertz's stream may read past a stated length, into the next request.
		src = io.LimitReader(src, int64(length))
	}
	head, err := io.ReadAll(io.LimitReader(src, replayLimit+1))
	if err != nil {
		return nil, err
	}
	if len(head) <= replayLimit {
		if length > 0 && len(head) != length {
			return nil, io.ErrUnexpectedEOF
		}
		return &requestBody{small: head}, nil
	}
	if length < 0 {
		length = -1
	}
	rest := &limitReader{src: io.MultiReader(bytes.NewReader(head), src), left: limit}
	return &requestBody{stream: rest, length: length, head: head}, nil
}

// replayable reports whether the body can be sent, or sent again.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.sent }

// attach sets the body of a request that is about to be sent.
func (b *requestBody) attach(r *protocol.Request) {
	if b.stream == nil {
		r.SetBodyRaw(b.small)
		return
	}
	b.sent = true
	r.Header.SetContentLength(b.length)
	r.SetBodyStream(b.stream, b.length)
}

// limitReader fails when more than left bytes were read. left 0 means no limit.
type limitReader struct {
	src  io.Reader
	left int64
	read int64
}

// Read reads the next bytes within the limit.
func (l *limitReader) Read(p []byte) (int, error) {
	n, err := l.src.Read(p)
	l.read += int64(n)
	if l.left > 0 && l.read > l.left {
		return n, errBodyTooLarge
	}
	return n, err
}

// answerBody is an answer's body: held in memory if it is small, otherwise a
// stream. length is its length in bytes, or -1 if it is unknown.
type answerBody struct {
	small  []byte
	stream io.Reader
	length int
}

// readAnswerBody reads a small body to its end, so that it is known to be
// complete. Of a body of unknown length that turns out to be large it reads the
// start, of one with a large stated length nothing.
func readAnswerBody(b *exchange.Body) (*answerBody, error) {
	if b.Length() > replayLimit {
		return &answerBody{stream: b, length: int(b.Length())}, nil
	}
	head, err := io.ReadAll(io.LimitReader(b, replayLimit+1))
	if err != nil {
		return nil, err
	}
	if len(head) <= replayLimit {
		return &answerBody{small: head, length: len(head)}, nil
	}
	return &answerBody{stream: io.MultiReader(bytes.NewReader(head), b), length: -1}, nil
}
