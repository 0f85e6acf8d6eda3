package hop

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// The errors that CheckFields returns.
var (
	errFieldName  = errors.New("a header field has no valid name directly before a colon")
	errFieldValue = errors.New("a header field holds a CR or a NUL in its value")
)

// CheckFields returns an error for lines of a head that are no header fields: a name is a
// token (RFC 9110, section 5.6.2) directly before the colon (RFC 9112, section 5.1), no line
// continues the one before, and no value holds a bare CR or a NUL (RFC 9110, section 5.5).
// Parsers differ in what they make of other lines, so that the end of the message is not
// certain. A line ends with LF or CR LF; an empty one ends the head.
func CheckFields(lines []byte) error {
	for line := range bytes.Lines(lines) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
		if len(line) == 0 {
			return nil
		}
		name, value, found := bytes.Cut(line, []byte{':'})
		if !found || !IsToken(name) {
			return errors.Wrapf(errFieldName, "%.64q", line)
		}
		if bytes.ContainsAny(value, "\r\x00") {
			return errors.Wrapf(errFieldValue, "%.64q", line)
		}
	}
	return nil
}

// IsToken reports whether text is a token (RFC 9110, section 5.6.2), as field names and
// methods are.
func IsToken(text []byte) bool {
	for _, b := range text {
		if b <= ' ' || b >= 0x7f || isDelimiter(b) {
			return false
		}
	}
	return len(text) > 0
}

func isDelimiter(b byte) bool {
	switch b {
	case '"', '(', ')', ',', '/', ':', ';', '<', '=', '>', '?', '@', '[', '\\', ']', '{', '}':
		return true
	}
	return false
}
