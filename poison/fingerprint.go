package poison

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// fingerprintBits is the size of a Fingerprint.
const fingerprintBits = 64

// Fingerprint identifies requests that look the same to a target.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. Path includes the
// query; bodyDigest is the xxhash of the complete body.
func NewFingerprint(method, host, path string, bodyDigest uint64) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{method, host, path} {
		_, _ = d.WriteString(part) // documented never to fail
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.WriteString(strconv.FormatUint(bodyDigest, 16))
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string {
	const digits = fingerprintBits / 4
	s := strconv.FormatUint(uint64(f), 16)
	for len(s) < digits {
		s = "0" + s
	}
	return s
}

// MarshalText implements encoding.TextMarshaler. It returns the result of String.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	parsed, err := ParseFingerprint(string(text))
	*f = parsed
	return err
}

// ParseFingerprint parses the result of Fingerprint.String.
func ParseFingerprint(s string) (Fingerprint, error) {
	n, err := strconv.ParseUint(s, 16, fingerprintBits)
	return Fingerprint(n), err
}
