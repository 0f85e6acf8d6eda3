package control

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

const sealBytes = 16

// sealer authenticates the frames of one direction of a connection. Each tag
// covers the frame's sequence number, so that frames cannot be forged,
// repeated or reordered. A sealer is used by one goroutine at a time.
type sealer struct {
	mac  hash.Hash
	next uint64
}

func newSealer(sessionKey []byte, sender role) *sealer {
	return &sealer{mac: hmac.New(sha256.New, tag(sessionKey, string(sender), nil))}
}

// seal appends the frame's tag to data.
func (s *sealer) seal(data []byte) []byte {
	return append(data, s.sum(data)...)
}

// open checks the tag and returns the data without it.
func (s *sealer) open(frame []byte) ([]byte, error) {
	if len(frame) < sealBytes {
		return nil, ErrMalformed
	}
	data, got := frame[:len(frame)-sealBytes], frame[len(frame)-sealBytes:]
	if !hmac.Equal(got, s.sum(data)) {
		return nil, ErrNotAuthenticated
	}
	return data, nil
}

func (s *sealer) sum(data []byte) []byte {
	var seq [8]byte
	binary.BigEndian.PutUint64(seq[:], s.next)
	s.next++
	s.mac.Reset()
	s.mac.Write(seq[:])
	s.mac.Write(data)
	return s.mac.Sum(nil)[:sealBytes]
}
