// Package answer makes the answers of stand-in targets, and checks that a
// caller received the complete answer to its own request.
package answer

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Request headers that control a stand-in target.
const (
	// HeaderRequest carries the id of the request; the answer echoes it.
	HeaderRequest = "Testbed-Request"
	// HeaderAttempt is the number of the attempt of the caller, from 1.
	HeaderAttempt = "Testbed-Attempt"
	// HeaderWork is the service time, as a Go duration.
	HeaderWork = "Testbed-Work"
	// HeaderBytes is the size of the answer's body in bytes.
	HeaderBytes = "Testbed-Bytes"
	// HeaderPoison, if not empty, crashes the target that runs the request: before it
	// answers, or within its answer if the value is PoisonInAnswer.
	HeaderPoison   = "Testbed-Poison"
	PoisonInAnswer = "in-answer"
)

// Response headers of a stand-in target.
const (
	// HeaderTarget names the target that answered.
	HeaderTarget = "Testbed-Target"
	// HeaderShed marks a shed request: the target did not run it.
	HeaderShed = "Target-Shed"
	// HeaderLeaving announces that the target is leaving.
	HeaderLeaving = "Target-Leaving"
)

// Errors that Check wraps.
var (
	// ErrTruncated means that the answer is a prefix of the expected one.
	ErrTruncated = errors.New("answer is truncated")
	// ErrMismatch means that the answer does not belong to this request.
	ErrMismatch = errors.New("answer belongs to another request")
)

// Digest identifies the content of a request body.
type Digest struct {
	// Bytes is the length of the body.
	Bytes int64
	// Sum is the xxhash of the body.
	Sum uint64
}

// DigestOf returns the digest of a body.
func DigestOf(body []byte) Digest {
	return Digest{Bytes: int64(len(body)), Sum: xxhash.Sum64(body)}
}

// Make returns the body of the answer to the request with the given id and body.
// It is size bytes long, or as long as its first line if that is longer.
func Make(id string, body Digest, size int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "request=%s bytes=%d sum=%016x size=%s\n", id, body.Bytes, body.Sum, strconv.Itoa(size))
	line := []byte(id + "\n")
	for b.Len() < size {
		b.Write(line[:min(len(line), size-b.Len())])
	}
	return b.Bytes()
}

// Check compares the body of an answer with the one expected for the request.
// The error wraps ErrTruncated or ErrMismatch.
func Check(got []byte, id string, body Digest, size int) error {
	want := Make(id, body, size)
	switch {
	case bytes.Equal(got, want):
		return nil
	case bytes.HasPrefix(want, got):
		return errors.Wrapf(ErrTruncated, "request %s: %d of %d bytes", id, len(got), len(want))
	default:
		return errors.Wrapf(ErrMismatch, "request %s: %d bytes, first %q", id, len(got), got[:min(len(got), 64)])
	}
}
