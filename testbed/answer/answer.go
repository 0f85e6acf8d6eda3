// Package answer makes the answers of stand-in targets, and checks that a
// caller got the whole answer to its own request.
package answer

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Request headers that steer a stand-in target.
const (
	// HeaderRequest identifies the request; the answer repeats it.
	HeaderRequest = "Testbed-Request"
	// HeaderAttempt counts the times that the caller sent the request, from 1.
	HeaderAttempt = "Testbed-Attempt"
	// HeaderWork is the service time, as a Go duration.
	HeaderWork = "Testbed-Work"
	// HeaderBytes is the size of the answer's body in bytes.
	HeaderBytes = "Testbed-Bytes"
	// HeaderPoison crashes the target that runs the request, if not empty.
	HeaderPoison = "Testbed-Poison"
)

// Response headers of a stand-in target.
const (
	// HeaderTarget names the target that answered.
	HeaderTarget = "Testbed-Target"
	// HeaderShed marks a refusal: the target did not run the request.
	HeaderShed = "Target-Shed"
	// HeaderLeaving announces that the target is leaving.
	HeaderLeaving = "Target-Leaving"
)

// Errors that Check wraps.
var (
	// ErrCut means that the answer is the start of the right one.
	ErrCut = errors.New("answer cut short")
	// ErrMixed means that the answer is not the one to this request.
	ErrMixed = errors.New("answer to another request")
)

// Digest identifies the content of a request body.
type Digest struct {
	// Bytes is the length of the body.
	Bytes int64
	// Sum is its xxhash.
	Sum uint64
}

// DigestOf returns the digest of a body in memory.
func DigestOf(body []byte) Digest {
	return Digest{Bytes: int64(len(body)), Sum: xxhash.Sum64(body)}
}

// Make returns the body of the answer to a request. It is size bytes long, or
// as long as its first line if that is longer.
func Make(id string, body Digest, size int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "request=%s bytes=%d sum=%016x size=%s\n", id, body.Bytes, body.Sum, strconv.Itoa(size))
	line := []byte(id + "\n")
	for b.Len() < size {
		b.Write(line[:min(len(line), size-b.Len())])
	}
	return b.Bytes()
}

// Check compares an answer's body with the one that the request should get.
// The error wraps ErrCut or ErrMixed.
func Check(got []byte, id string, body Digest, size int) error {
	want := Make(id, body, size)
	switch {
	case bytes.Equal(got, want):
		return nil
	case bytes.HasPrefix(want, got):
		return errors.Wrapf(ErrCut, "request %s: %d of %d bytes", id, len(got), len(want))
	default:
		return errors.Wrapf(ErrMixed, "request %s: %d bytes, first %q", id, len(got), got[:min(len(got), 64)])
	}
}
