package ingress

import (
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// RequestRecord is the course of one request on its connection.
type RequestRecord struct {
	// Request is nil if it could not be read.
	Request *protocol.Request
	// Connection numbers the connections of a Server, and Position the requests
	// of a connection, both from 1 on.
	Connection uint64
	Position   int
	// Received is when the request was read, Ready when its answer was at hand,
	// and WriteBegun when its writing began; zero if that has not happened.
	Received, Ready, WriteBegun time.Time
}

// Fate is what became of a request that was read.
type Fate uint8

// The fates.
const (
	// Answered means that the whole answer was handed to the connection.
	Answered Fate = iota
	// CallerLeft means that the caller ended the connection first.
	CallerLeft
	// WriteTimedOut means that the caller did not take the bytes of its answer,
	// or of one before it, in time.
	WriteTimedOut
	// WriteFailed means that the writing of its answer, or of one before it, failed.
	WriteFailed
	// NotTaken means that its caller had been told that the connection closes when
	// the request had been read, or is told so by an answer before it; it was not
	// handed to the Handler.
	NotTaken
	// Unfinished means that the process ends before the answer is written.
	Unfinished
	fates
)

// String returns the fate's name.
func (f Fate) String() string {
	return [...]string{"answered", "caller_left", "write_timed_out", "write_failed", "not_taken", "unfinished"}[f]
}

// RequestEnd is the end of a request on its connection.
type RequestEnd struct {
	RequestRecord
	Fate Fate
	// Err is why an answer was not written.
	Err error
	// Ended is when its writing ended or was given up.
	Ended time.Time
}

// End is how a connection ended.
type End uint8

// The ends.
const (
	// EndCaller means that the caller ended or broke the connection.
	EndCaller End = iota
	// EndIdle means that it was idle for too long.
	EndIdle
	// EndDrained means that it was idle when the node shut down.
	EndDrained
	// EndLastAnswer means that an answer said that the connection closes.
	EndLastAnswer
	// EndRefused means that what the caller sent could not be read.
	EndRefused
	// EndWriteFailed means that an answer could not be written.
	EndWriteFailed
)

// String returns the end's name.
func (e End) String() string {
	return [...]string{"caller", "idle", "drained", "last_answer", "refused", "write_failed"}[e]
}

// ConnectionEnd describes a connection that has ended.
type ConnectionEnd struct {
	Connection uint64
	End        End
	// Requests is the number of requests read whole.
	Requests int
	// Discarded is the number of bytes that arrived after the last request that
	// was taken, and Quiet the time since the last byte of the caller.
	Discarded     int64
	SinceLastByte time.Duration
}

// Observer is told what becomes of requests beyond the Handler. Its methods
// must not block.
type Observer interface {
	// RequestEnded is called once for each request that was read.
	RequestEnded(d RequestEnd)
	// ConnectionEnded is called once for each connection.
	ConnectionEnded(e ConnectionEnd)
	// Panicked is called for each panic that was caught; a Handler's is answered
	// with 500.
	Panicked(p Panic)
}

// Stats counts what became of requests. At any time Read is the sum of Ended
// and of the requests in flight.
type Stats struct {
	// Read counts the requests read whole or refused as unreadable, Handled those
	// handed to the Handler.
	Read, Handled int64
	// Ended counts the requests by fate.
	Ended map[Fate]int64
}

type ledger struct {
	read, passed atomic.Int64
	ended        [fates]atomic.Int64
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	l := Stats{Read: s.ledger.read.Load(), Handled: s.ledger.passed.Load(), Ended: make(map[Fate]int64)}
	for f := range fates {
		l.Ended[f] = s.ledger.ended[f].Load()
	}
	return l
}

func (s *Server) received() {
	s.inFlight.Add(1)
	s.ledger.read.Add(1)
}

func (s *Server) delivered(d RequestEnd) {
	s.ledger.ended[d.Fate].Add(1)
	s.inFlight.Add(-1)
	s.observer.RequestEnded(d)
}

func (s *Server) connectionEnded(e ConnectionEnd) { s.observer.ConnectionEnded(e) }

// Unanswered returns the requests in flight, in the order of each connection.
func (s *Server) Unanswered() []RequestRecord {
	var all []RequestRecord
	for _, c := range s.open() {
		c.mu.Lock()
		for _, p := range c.due {
			all = append(all, p.RequestRecord)
		}
		if c.next != nil {
			all = append(all, c.next.RequestRecord)
		}
		c.mu.Unlock()
	}
	return all
}

// endAs notes how the connection ends, unless that is known. It must be called
// with mu held.
func (c *conn) endAs(e End) {
	if !c.ended {
		c.ended, c.end = true, e
	}
}

// left notes that the caller ended the connection.
func (c *conn) left() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endAs(EndCaller)
}

// arrived notes that bytes have arrived.
func (c *conn) arrived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastByte = time.Now()
}

// discarded notes bytes that were read and not used.
func (c *conn) discarded(n int) {
	if n == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unused += int64(n)
	c.lastByte = time.Now()
}

// ending describes the connection at its end.
func (c *conn) ending() ConnectionEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnectionEnd{
		Connection: c.number, End: c.end, Requests: c.requests,
		Discarded: c.unused, SinceLastByte: time.Since(c.lastByte),
	}
}
