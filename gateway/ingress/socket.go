package ingress

import (
	"context"
	"io"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"filbertmill.example/exchange/account"
	"filbertmill.example/exchange/guard"
)

// socket is a caller's TCP connection below the codec's buffers. It gives access to
// the half-close of the connection, and to bytes that have arrived and that the
// codec has not asked for yet.
type socket struct {
	net.Conn
	tcp *net.TCPConn
	raw syscall.RawConn
	// memory holds what waits for the caller to read.
	memory *account.Holder
	// buffered holds bytes read before the codec asked for them. Only the reading
	// goroutine uses it.
	buffered []byte
	// writeTimeout is how long a caller may take to accept minWriteProgress
	// bytes.
	writeTimeout time.Duration
	// opened is when the connection was accepted, and lastRead the time from then until
	// bytes last arrived.
	opened   time.Time
	lastRead atomic.Int64
}

// minWriteProgress is the least number of bytes that a caller must accept in each
// write timeout. It also limits the total time: an answer of n bytes is written
// within n / minWriteProgress + 1 write timeouts or is abandoned.
const minWriteProgress = 16 << 10

// maxWrite is the largest number of bytes that are written at once, so that the progress of
// a caller that reads slowly is seen.
const maxWrite = 64 << 10

// Write implements net.Conn. It continues after a timeout if the caller has accepted
// at least minWriteProgress bytes since the last one.
func (s *socket) Write(b []byte) (int, error) {
	s.memory.Progress()
	defer s.memory.EndWait()
	written := 0
	for {
		if err := s.Conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
			return written, err
		}
		n, err := s.Conn.Write(b[written:min(written+maxWrite, len(b))])
		written += n
		if n > 0 {
			s.memory.Progress()
		}
		if err != nil && (!isTimeout(err) || n < minWriteProgress) || written == len(b) {
			return written, err
		}
	}
}

// Read implements net.Conn.
func (s *socket) Read(b []byte) (int, error) {
	if len(s.buffered) > 0 {
		n := copy(b, s.buffered)
		if s.buffered = s.buffered[n:]; len(s.buffered) == 0 {
			s.buffered = nil
		}
		return n, nil
	}
	n, err := s.Conn.Read(b)
	if n > 0 {
		s.lastRead.Store(int64(time.Since(s.opened)))
	}
	return n, err
}

// putBack puts bytes before those that the next Read returns.
func (s *socket) putBack(b []byte) {
	if len(b) > 0 {
		s.buffered = slices.Concat(b, s.buffered)
	}
}

// readAheadBytes is the number of bytes that are read ahead at once.
const readAheadBytes = 4 << 10

// readAhead waits for bytes and keeps them for the next Read.
func (s *socket) readAhead() error {
	s.buffered = slices.Grow(s.buffered, readAheadBytes)
	kept := len(s.buffered)
	n, err := s.Conn.Read(s.buffered[kept : kept+readAheadBytes])
	s.buffered = s.buffered[:kept+n]
	return err
}

// peekResult is what the next Read would return.
type peekResult uint8

// The results of a peek: nothing yet, bytes, or the end of the connection.
const (
	peekedNothing peekResult = iota
	peekedBytes
	peekedClose
)

// peek returns, without waiting, what the next Read would return.
func (s *socket) peek() peekResult {
	if len(s.buffered) > 0 {
		return peekedBytes
	}
	var first [1]byte
	n, err := s.readArrived(first[:])
	switch {
	case n > 0:
		s.buffered = first[:n]
		return peekedBytes
	case isTimeout(err):
		return peekedNothing
	}
	return peekedClose
}

// readArrived reads what has arrived, without waiting. It fails with
// os.ErrDeadlineExceeded if that is nothing. A read with a deadline cannot be used for
// this: once the deadline has passed, it fails without checking for bytes that have
// arrived.
func (s *socket) readArrived(b []byte) (n int, err error) {
	var readErr error
	if err := s.raw.Control(func(fd uintptr) {
		n, readErr = syscall.Read(int(fd), b)
		for errors.Is(readErr, syscall.EINTR) {
			n, readErr = syscall.Read(int(fd), b)
		}
	}); err != nil {
		return 0, err
	}
	switch {
	case errors.Is(readErr, syscall.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: s.LocalAddr(), Addr: s.RemoteAddr(), Err: readErr}
	case n == 0:
		return 0, io.EOF
	}
	s.lastRead.Store(int64(time.Since(s.opened)))
	return n, nil
}

// callerLeft reports whether the caller has closed the connection, even if bytes that it
// sent before are unread.
func (s *socket) callerLeft() bool {
	events := 0
	if err := s.raw.Control(func(fd uintptr) {
		// An interrupted poll counts as none; the next one tells.
		events, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}, 0)
	}); err != nil {
		return true
	}
	return events > 0
}

// listener accepts sockets.
type listener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	tcp, err := guard.AcceptRetrying(l.AcceptTCP)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		tcp, err = l.acceptFromBacklog()
	}
	if err != nil {
		return nil, err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "accept a caller's connection"), tcp.Close())
	}
	return &socket{Conn: tcp, tcp: tcp, raw: raw, opened: time.Now()}, nil
}

// acceptFromBacklog accepts a connection that waits in the backlog, after Shutdown
// has set the deadline to the past. It fails with net.ErrClosed if there is none.
func (l listener) acceptFromBacklog() (*net.TCPConn, error) {
	if err := l.SetDeadline(time.Now().Add(backlogIdleTime)); err != nil {
		return nil, err
	}
	tcp, err := guard.AcceptRetrying(l.AcceptTCP)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, net.ErrClosed
	case err != nil:
		return nil, err
	}
	if err := l.SetDeadline(pastDeadline); err != nil && !errors.Is(err, net.ErrClosed) {
		return nil, errors.CombineErrors(err, tcp.Close())
	}
	return tcp, nil
}

type socketKey struct{}

// withSocket returns a context that passes a socket to the handler of the codec's
// connection on top of it.
func withSocket(c net.Conn) context.Context {
	return context.WithValue(context.Background(), socketKey{}, c.(*socket))
}

func socketOf(ctx context.Context) *socket { return ctx.Value(socketKey{}).(*socket) }
