package control

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// tagBytes is the size of a frame's tag, a truncated HMAC-SHA-256.
const tagBytes = 16

// sealer authenticates the frames of one direction of a connection. Each tag
// covers the frame's sequence number, so that frames cannot be forged, replayed
// or reordered. A sealer is not safe for concurrent use.
type sealer struct {
	mac hash.Hash
	// next is the sequence number of the next frame.
	next uint64
}

func newSealer(sessionKey []byte, sender role) *sealer {
	return &sealer{mac: hmac.New(sha256.New, tag(sessionKey, string(sender), nil))}
}

// seal returns the frame of data, which is data with its tag appended.
func (s *sealer) seal(data []byte) []byte {
	return append(data, s.sum(data)...)
}

// open checks the tag of a frame and returns the data without the tag.
func (s *sealer) open(frame []byte) ([]byte, error) {
	if len(frame) < tagBytes {
		return nil, ErrMalformed
	}
	data, got := frame[:len(frame)-tagBytes], frame[len(frame)-tagBytes:]
	if !hmac.Equal(got, s.sum(data)) {
		return nil, ErrNotAuthenticated
	}
	return data, nil
}

// sum returns the tag of the next frame and increments the sequence number.
func (s *sealer) sum(data []byte) []byte {
	var seq [8]byte
	binary.BigEndian.PutUint64(seq[:], s.next)
	s.next++
	s.mac.Reset()
	s.mac.Write(seq[:])
	s.mac.Write(data)
	return s.mac.Sum(nil)[:tagBytes]
}
