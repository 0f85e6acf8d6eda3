package ingress

import (
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// RequestRecord describes one request on its connection and the times at which its
// handling advanced.
type RequestRecord struct {
	// Request is nil if the request could not be read.
	Request *protocol.Request
	// Connection is the number of the connection on the Server, and Position the
	// number of the request on its connection. Both start from 1.
	Connection uint64
	Position   int
	// Received is when the request was read, Ready when its answer was available,
	// and WriteBegun when the writing of the answer began. Each is zero until then.
	Received, Ready, WriteBegun time.Time

	// held is its memory; nil if there is none.
	held *requestMemory
}

// Fate is the outcome of a request that was read.
type Fate uint8

// The fates of requests.
const (
	// Answered means that the complete answer was handed to the connection.
	Answered Fate = iota
	// CallerLeft means that the caller ended the connection before its answer was
	// written.
	CallerLeft
	// WriteTimedOut means that the caller did not accept the bytes of its answer,
	// or of an earlier one, in time.
	WriteTimedOut
	// WriteFailed means that the writing of its answer, or of an earlier one, failed.
	WriteFailed
	// NotTaken means that the request was not handed to the Handler, because its
	// connection closes. Its caller was informed of that before the request was
	// read, or is informed by an earlier answer.
	NotTaken
	// Unfinished means that the process ends before the answer is written.
	Unfinished
	numFates
)

// String returns the fate's name.
func (f Fate) String() string {
	return [...]string{"answered", "caller_left", "write_timed_out", "write_failed", "not_taken", "unfinished"}[f]
}

// RequestEnd describes the end of a request on its connection.
type RequestEnd struct {
	RequestRecord
	Fate Fate
	// Err is the reason for which the answer was not written, else nil.
	Err error
	// Ended is when the writing of the answer ended or was abandoned.
	Ended time.Time
}

// End is how a connection ended.
type End uint8

// The ends of connections.
const (
	// EndCaller means that the caller ended or broke the connection.
	EndCaller End = iota
	// EndIdle means that the connection exceeded its idle time.
	EndIdle
	// EndDrained means that the connection was idle when the node shut down.
	EndDrained
	// EndLastAnswer means that an answer announced that the connection closes.
	EndLastAnswer
	// EndRefused means that the bytes of the caller could not be read as a request.
	EndRefused
	// EndWriteFailed means that an answer could not be written.
	EndWriteFailed
	// EndDisplaced means that the connection was closed to make room for another.
	EndDisplaced
)

// String returns the end's name.
func (e End) String() string {
	return [...]string{"caller", "idle", "drained", "last_answer", "refused", "write_failed", "displaced"}[e]
}

// ConnectionEnd describes a connection that has ended.
type ConnectionEnd struct {
	Connection uint64
	End        End
	// Requests is the number of requests read completely.
	Requests int
	// Discarded is the number of bytes that arrived after the last request that
	// was accepted. SinceLastByte is the time since the caller's last byte.
	Discarded     int64
	SinceLastByte time.Duration
}

// Observer is notified of the ends of requests and connections, and of panics. Its
// methods must not block.
type Observer interface {
	// RequestEnded is called once for each request that was read.
	RequestEnded(e RequestEnd)
	// ConnectionEnded is called once for each connection.
	ConnectionEnded(e ConnectionEnd)
	// Panicked is called for each panic that was recovered. A request on which the
	// Handler panics is answered with 500.
	Panicked(p Panic)
}

// Stats holds counters of requests. At any time Read is the sum of the counts in
// Ended and of the requests in flight.
type Stats struct {
	// Read counts the requests read completely or refused as unreadable. Handled
	// counts those handed to the Handler.
	Read, Handled int64
	// Ended counts the requests by fate.
	Ended map[Fate]int64
}

type counters struct {
	read, handled atomic.Int64
	ended         [numFates]atomic.Int64
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	stats := Stats{Read: s.counters.read.Load(), Handled: s.counters.handled.Load(), Ended: make(map[Fate]int64)}
	for f := range numFates {
		stats.Ended[f] = s.counters.ended[f].Load()
	}
	return stats
}

func (s *Server) countRead() {
	s.inFlight.Add(1)
	s.counters.read.Add(1)
}

func (s *Server) requestEnded(e RequestEnd) {
	s.counters.ended[e.Fate].Add(1)
	s.inFlight.Add(-1)
	e.held.release()
	s.observer.RequestEnded(e)
}

func (s *Server) connectionEnded(e ConnectionEnd) { s.observer.ConnectionEnded(e) }

// Unanswered returns the requests that were read and not yet answered, those of one
// connection in order.
func (s *Server) Unanswered() []RequestRecord {
	var all []RequestRecord
	for _, c := range s.openConns() {
		c.mu.Lock()
		for _, p := range c.unanswered {
			all = append(all, p.RequestRecord)
		}
		if c.waiting != nil {
			all = append(all, c.waiting.RequestRecord)
		}
		c.mu.Unlock()
	}
	return all
}

// setEnd records how the connection ended, unless that is recorded already. It must
// be called with mu held.
func (c *conn) setEnd(e End) {
	if !c.ended {
		c.ended, c.end = true, e
	}
}

// noteCallerLeft records that the caller ended the connection.
func (c *conn) noteCallerLeft() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setEnd(EndCaller)
}

// noteArrival records that bytes have arrived.
func (c *conn) noteArrival() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastByte = time.Now()
}

// countDiscarded counts bytes that were read and do not belong to a request that was
// accepted.
func (c *conn) countDiscarded(n int) {
	if n == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discardedBytes += int64(n)
	c.lastByte = time.Now()
}

// connectionEnd returns the description of the connection at its end.
func (c *conn) connectionEnd() ConnectionEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnectionEnd{
		Connection: c.number, End: c.end, Requests: c.requests,
		Discarded: c.discardedBytes, SinceLastByte: time.Since(c.lastByte),
	}
}
