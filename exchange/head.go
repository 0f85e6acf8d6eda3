package exchange

import (
	"bytes"
	"io"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange/hop"
)

const (
	// maxHeadBytes limits the total size of the heads of one answer, including
	// those of interim answers. It is far above what well-behaved targets send.
	// Multiplied by the requests in flight, it is still small compared with the
	// memory of a host.
	maxHeadBytes = 64 << 10
	// maxInterim limits the number of interim answers (1xx) before the final one.
	maxInterim = 16
)

// protocolPrefix is the start of every answer.
var protocolPrefix = []byte("HTTP/1.")

// readHeaders reads the status line and headers of the final answer into r and
// discards interim answers.
func readHeaders(r *protocol.Response, src network.Reader) error {
	left := maxHeadBytes
	for range maxInterim + 1 {
		head, err := readHead(src, left)
		if err != nil {
			return err
		}
		left -= len(head)
		if err := parseHead(r, head); err != nil {
			return err
		}
		if r.StatusCode() >= 200 {
			return nil
		}
	}
	return errors.Wrapf(errInterim, "%d heads in %d bytes", maxInterim+1, maxHeadBytes-left)
}

// readHead reads the head of one answer, of at most limit bytes, and consumes no
// byte beyond its end. It removes each piece from the connection's buffer as soon
// as it has scanned it. Hertz's own reader instead scans the head from its start
// for each piece that arrives, and retains every copy.
func readHead(src network.Reader, limit int) ([]byte, error) {
	var head []byte
	var scan HeadScan
	for {
		if _, err := src.Peek(1); err != nil {
			return nil, err
		}
		piece, err := src.Peek(min(src.Len(), limit+1-len(head)))
		if err != nil {
			return nil, err
		}
		before := len(head)
		head = append(head, piece...)
		end := scan.End(head)
		consumed := len(piece)
		if end > 0 {
			consumed = end - before
			head = head[:end]
		}
		if err := src.Skip(consumed); err != nil {
			return nil, errors.Wrap(err, "read head")
		}
		switch {
		case len(head) > limit:
			return nil, errors.Wrapf(errHeadTooLarge, "%d bytes read", len(head))
		case !beginsAnswer(head):
			return nil, errors.Wrapf(errNotHTTP, "begins with %q", head[:min(len(head), 32)])
		case end > 0:
			return head, src.Release()
		}
	}
}

// beginsAnswer reports whether head may be the start of an answer, possibly after
// empty lines.
func beginsAnswer(head []byte) bool {
	head = bytes.TrimLeft(head, "\r\n")
	n := min(len(head), len(protocolPrefix))
	return bytes.Equal(head[:n], protocolPrefix[:n])
}

// maxMethodBytes is the length within which the head of a request has a space.
const maxMethodBytes = 32

// BeginsRequest reports whether head may be the start of a request: its method consists of
// the characters of a token (RFC 9110, section 5.6.2).
func BeginsRequest(head []byte) bool {
	method, _, ended := bytes.Cut(head[:min(len(head), maxMethodBytes+1)], []byte{' '})
	if len(method) == 0 {
		return !ended
	}
	return hop.IsToken(method) && len(method) <= maxMethodBytes
}

// HeadScan searches for the end of a head: the first empty line after a line that
// is not empty.
type HeadScan struct {
	// scanned is the offset at which the search continues, lineStart that of the
	// current line. Begun is set once a line that is not empty was found.
	scanned, lineStart int
	begun              bool
}

// End returns the length of the head at the start of b, or 0 if b does not contain
// the end of the head. Between calls b may only grow.
func (s *HeadScan) End(b []byte) int {
	for {
		i := bytes.IndexByte(b[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(b)
			return 0
		}
		text := bytes.TrimSuffix(b[s.lineStart:s.scanned+i], []byte{'\r'})
		s.scanned += i + 1
		s.lineStart = s.scanned
		if len(text) == 0 && s.begun {
			return s.scanned
		}
		s.begun = s.begun || len(text) > 0
	}
}

// parseHead parses a complete head into r. It may change the bytes of head.
func parseHead(r *protocol.Response, head []byte) (err error) {
	defer func() {
		// Hertz's parser may panic on malformed bytes. No bytes from a target may end
		// the process.
		if p := recover(); p != nil {
			err = errors.Wrapf(errHead, "the codec panicked: %v", p)
		}
	}()
	if err := checkFraming(head); err != nil {
		return err
	}
	src := NewHeadReader(head)
	if err := resp.ReadHeader(&r.Header, src); err != nil {
		return errors.Wrapf(errHead, "%v", err)
	}
	if src.Len() > 0 {
		return errors.Wrapf(errHead, "%d bytes behind the last header", src.Len())
	}
	return nil
}

// checkFraming rejects heads that hertz misreads: it accepts any number as a
// status, ignores a Content-Length that is not a number, takes every transfer
// coding for chunked, and drops or repairs lines that are no header fields.
func checkFraming(head []byte) error {
	head = bytes.TrimLeft(head, "\r\n")
	statusLine, fields, _ := bytes.Cut(head, []byte{'\n'})
	statusLine = bytes.TrimSuffix(statusLine, []byte{'\r'})
	if err := checkStatusLine(statusLine); err != nil {
		return err
	}
	if err := hop.CheckFields(fields); err != nil {
		return errors.Wrapf(errHead, "%v", err)
	}
	version, _, _ := bytes.Cut(statusLine, []byte{' '})
	var length, coding []byte
	for line := range bytes.Lines(fields) {
		name, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			if !isLength(value) || length != nil && !bytes.Equal(length, value) {
				return errors.Wrapf(errFraming, "Content-Length %q", value)
			}
			length = value
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if string(value) == "identity" {
				continue
			}
			if coding != nil || !bytes.EqualFold(value, []byte("chunked")) {
				return errors.Wrapf(errFraming, "Transfer-Encoding %q", value)
			}
			coding = value
		}
	}
	switch {
	case length != nil && coding != nil:
		return errors.Wrap(errFraming, "both Content-Length and chunked encoding")
	case coding != nil && string(version) != "HTTP/1.1":
		return errors.Wrapf(errFraming, "chunked encoding in %q", version[:min(len(version), 32)])
	}
	return nil
}

// checkStatusLine rejects a status that is not a number from 100 to 599. It also
// rejects 101 (Switching Protocols), since no request asks for an upgrade, and a CR
// or a NUL in the line.
func checkStatusLine(line []byte) error {
	const digits = 3
	_, rest, _ := bytes.Cut(line, []byte{' '})
	status, _, _ := bytes.Cut(rest, []byte{' '})
	if len(status) != digits || !isNumber(status) || status[0] < '1' || status[0] > '5' || string(status) == "101" {
		return errors.Wrapf(errHead, "status %q", status[:min(len(status), 32)])
	}
	if bytes.ContainsAny(line, "\r\x00") {
		return errors.Wrapf(errHead, "status line %.64q", line)
	}
	return nil
}

// isLength reports whether text is a length that hertz parses correctly.
func isLength(text []byte) bool {
	const maxDigits = 18
	return isNumber(text) && len(text) <= maxDigits
}

// isNumber reports whether text consists of one or more decimal digits.
func isNumber(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(text) > 0
}

// HeadReader passes a head that has already been read to hertz's parsers.
type HeadReader struct{ b []byte }

// NewHeadReader returns a reader of a head, whose bytes the parsers may change.
func NewHeadReader(head []byte) *HeadReader { return &HeadReader{b: head} }

// Peek returns the next n bytes.
func (r *HeadReader) Peek(n int) ([]byte, error) {
	if n > len(r.b) {
		return r.b, io.EOF
	}
	return r.b[:n], nil
}

// Skip discards the next n bytes.
func (r *HeadReader) Skip(n int) error {
	if n > len(r.b) {
		return io.ErrUnexpectedEOF
	}
	r.b = r.b[n:]
	return nil
}

// Len returns the number of bytes left.
func (r *HeadReader) Len() int { return len(r.b) }

// Release does nothing, since the bytes belong to no shared buffer.
func (r *HeadReader) Release() error { return nil }

// ReadByte reads the next byte.
func (r *HeadReader) ReadByte() (byte, error) {
	b, err := r.ReadBinary(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

// ReadBinary reads the next n bytes.
func (r *HeadReader) ReadBinary(n int) ([]byte, error) {
	b, err := r.Peek(n)
	if err != nil {
		return nil, err
	}
	return b, r.Skip(n)
}
