package ingress

import (
	"bytes"
	"context"

	"filbertmill.example/exchange/account"
)

const (
	// smallBodyBytes is the size up to which a body counts as small. Small bodies have
	// memory of their own, so that they are served whatever large ones use.
	smallBodyBytes = 64 << 10
	// smallBodiesDivisor and largeBodiesDivisor divide the memory of the process: the
	// quotients are the limits for all small bodies and all large ones together. The
	// latter is raised for the largest body that the configuration allows, up to
	// largestBodyShare of the memory.
	smallBodiesDivisor = 8
	largeBodiesDivisor = 4
	largestBodyShare   = 0.37
	// defaultMemoryBytes stands for the memory of the process if it is not configured.
	defaultMemoryBytes = 256 << 20

	// connectionBytes is what an open connection needs while it is idle: the buffers of the
	// codec and the stacks of two goroutines.
	connectionBytes = 20 << 10
	// requestBytes is what the handling of a request needs beside its head and body: the
	// stacks of its goroutines, and the buffers of a connection to a target.
	requestBytes = 28 << 10
	// headCopies is the number of copies of a head that are in memory while it is handled:
	// as received, as forwarded, for the target, and as sent. fieldBytes is what each copy
	// needs for a field beside its text.
	headCopies = 4
	fieldBytes = 72
	// unreadBytes is the size of the answers that wait for a caller from which on no
	// further request of it is read.
	unreadBytes = 256 << 10
)

// limitBodies sets the limits of the classes of bodies, with room for one of the largest
// size that callers may send.
func (s *Server) limitBodies(bodyBytes int) {
	if s.largestBody.Swap(int64(bodyBytes)) == int64(bodyBytes) {
		return
	}
	room := min(int64(bodyBytes)+maxSegmentBytes, int64(largestBodyShare*float64(s.memoryBytes)))
	s.account.SetMax(account.SmallBodies, s.memoryBytes/smallBodiesDivisor)
	s.account.SetMax(account.LargeBodies, max(s.memoryBytes/largeBodiesDivisor, room))
}

// requestMemory is the memory of one request: while it is read by the Holder of the
// connection's reading side, and then by that of its writing side. Only one goroutine at a
// time uses it. Its methods accept nil.
type requestMemory struct {
	holder *account.Holder
	// head is of the class Requests, and body of the class bodies. Both are in bytes.
	head, body int64
	bodies     account.Class
}

func newRequestMemory(h *account.Holder) *requestMemory {
	return &requestMemory{holder: h, bodies: account.SmallBodies}
}

// setHead changes the memory of the head.
func (m *requestMemory) setHead(bytes int64) error {
	if bytes > m.head {
		if err := m.holder.Grow(context.Background(), account.Requests, bytes-m.head); err != nil {
			return err
		}
	} else {
		m.holder.Release(account.Requests, m.head-bytes)
	}
	m.head = bytes
	return nil
}

// growBody adds memory to the body.
func (m *requestMemory) growBody(bytes int64) error {
	if m.bodies == account.LargeBodies || m.body+bytes <= smallBodyBytes {
		if err := m.holder.Grow(context.Background(), m.bodies, bytes); err != nil {
			return err
		}
		m.body += bytes
		return nil
	}
	if err := m.holder.Grow(context.Background(), account.LargeBodies, m.body+bytes); err != nil {
		return err
	}
	m.holder.Release(account.SmallBodies, m.body)
	m.bodies = account.LargeBodies
	m.body += bytes
	return nil
}

// moveTo hands the memory over to another Holder. It fails if the reading was aborted.
func (m *requestMemory) moveTo(h *account.Holder) error {
	if err := m.holder.Move(h, account.Requests, m.head); err != nil {
		return err
	}
	if err := m.holder.Move(h, m.bodies, m.body); err != nil {
		h.Release(account.Requests, m.head)
		m.head = 0
		return err
	}
	m.holder = h
	return nil
}

// release releases the memory. It may be called more than once.
func (m *requestMemory) release() {
	if m == nil {
		return
	}
	m.holder.Release(account.Requests, m.head)
	m.holder.Release(m.bodies, m.body)
	m.head, m.body = 0, 0
}

// handlingBytes returns what a request with the given head needs until it is answered.
func handlingBytes(head []byte) int64 {
	return requestBytes + headCopies*(int64(len(head))+fieldBytes*int64(bytes.Count(head, []byte{'\n'})))
}

// BodyMemory is the memory of the bodies of callers' requests, in bytes.
type BodyMemory struct {
	Small BodyClassMemory `json:"small"`
	Large BodyClassMemory `json:"large"`
}

// BodyClassMemory is that of the small or of the large bodies.
type BodyClassMemory struct {
	Limit int64 `json:"limit"`
	Used  int64 `json:"used"`
	Peak  int64 `json:"peak"`
	// Aborted counts the bodies that were aborted since others needed the memory.
	Aborted int64 `json:"aborted"`
}

// BodyMemory returns the current use.
func (s *Server) BodyMemory() BodyMemory {
	of := func(c account.Class) BodyClassMemory {
		u := s.account.Class(c)
		return BodyClassMemory{u.Limit, u.Used, u.Peak, u.Aborted}
	}
	return BodyMemory{Small: of(account.SmallBodies), Large: of(account.LargeBodies)}
}
