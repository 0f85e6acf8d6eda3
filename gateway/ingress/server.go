package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"
)

// backlogTime bounds how long connections that wait for it are accepted before
// the listener closes; it does once there was none for backlogPause.
const (
	backlogTime  = 200 * time.Millisecond
	backlogPause = 10 * time.Millisecond
)

// Limits bound what a caller may send; a zero field sets no bound.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request, in bytes.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the time in which a header arrives once it has begun.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

// Request is one request, read to its end.
type Request struct {
	*protocol.Request
	// Received is when its last byte was read.
	Received time.Time
}

// Handler answers requests. It may be called for several requests of one
// connection at once.
type Handler interface {
	// Serve returns the answer. The context ends when the caller has left.
	Serve(ctx context.Context, r *Request) *protocol.Response
	// MayPipeline reports whether a request may be in work before the answers
	// to earlier ones of its connection are written.
	MayPipeline(r *protocol.Request) bool
	// Limits returns the limits in force.
	Limits() Limits
}

// Server serves callers' connections.
type Server struct {
	handler   Handler
	observer  Observer
	ledger    ledger
	accepted  atomic.Uint64
	listener  listener
	transport network.Transporter
	draining  atomic.Bool
	// refusing says that the Handler would refuse what is read from now on.
	refusing atomic.Bool
	// leaving says that idle connections are ended.
	leaving  atomic.Bool
	inFlight atomic.Int64
	// writeTimeout is that of the sockets; tests shorten it.
	writeTimeout time.Duration
	// active is when a connection or a request last arrived, in Unix nanoseconds.
	active atomic.Int64

	// running says that Run was called, and stopped is closed when it has returned.
	running atomic.Bool
	stopped chan struct{}

	mu    sync.Mutex
	conns map[*conn]bool
	// sockets is the number of connections accepted and not closed, and ended
	// receives, if there is room, when one is closed.
	sockets int
	ended   chan struct{}
}

// Listen returns a Server on the address; Run makes it serve.
func Listen(address string, h Handler, o Observer) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	s := &Server{
		handler: h, observer: o, listener: listener{l.(*net.TCPListener)}, writeTimeout: writeTimeout, conns: make(map[*conn]bool),
		stopped: make(chan struct{}), ended: make(chan struct{}, 1),
	}
	s.transport = standard.NewTransporter(&config.Options{Listener: s.listener, Network: "tcp", Addr: address, OnAccept: s.opened})
	return s, nil
}

// Addr returns the address served.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run accepts connections until StopAccepting or Shutdown. It is called once.
func (s *Server) Run() error {
	s.running.Store(true)
	defer close(s.stopped)
	err := s.transport.ListenAndServe(func(ctx context.Context, c any) error {
		s.serve(ctx, c.(network.Conn))
		return nil
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// InFlight returns the number of requests read and not answered.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// SinceLastArrival returns the time since a connection or a request last arrived.
func (s *Server) SinceLastArrival() time.Duration { return time.Since(time.Unix(0, s.active.Load())) }

func (s *Server) touch() { s.active.Store(time.Now().UnixNano()) }

// Drain has every connection closed behind its next answer that no other
// request waits for.
func (s *Server) Drain() { s.draining.Store(true) }

// StopPipelining says that the Handler refuses all requests from now on. One behind
// others in work is not given to it, as its refusal would have to wait for their
// answers: the connection is closed behind the last of those, and callers send
// at once again what they sent behind it. Drain must have been called.
func (s *Server) StopPipelining() { s.refusing.Store(true) }

// CloseIdle ends the connections on which no request is in work, and from then
// on those that become idle.
func (s *Server) CloseIdle() {
	s.leaving.Store(true)
	for _, c := range s.open() {
		c.wake()
	}
}

// Shutdown closes the listener and every connection: an idle one at once, the
// others behind their last answer. It returns when all callers have closed, or
// with an error when ctx ends; connections that are open then go on.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	if s.running.Load() {
		// Closing resets what waits to be accepted, with the requests sent on it.
		if err := s.listener.SetDeadline(pastDeadline); err != nil && !errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "shut down")
		}
		select {
		case <-s.stopped:
		case <-time.After(backlogTime):
		case <-ctx.Done():
		}
	}
	if err := s.StopAccepting(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	s.CloseIdle()
	for s.countOpen() > 0 {
		select {
		case <-s.ended:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d connections of callers are open", s.countOpen())
		}
	}
	return nil
}

func (s *Server) countOpen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sockets
}

// open returns the open connections.
func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// StopAccepting closes the listener; open connections go on.
func (s *Server) StopAccepting() error { return errors.Wrap(s.listener.Close(), "close listener") }

func (s *Server) serve(ctx context.Context, nc network.Conn) {
	s.touch()
	sock := socketOf(ctx)
	sock.writeTimeout = s.writeTimeout
	c := newConn(s, sock, nc)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer s.closed(c)
	c.run(ctx)
}

// opened counts a connection before the next is accepted.
func (s *Server) opened(c net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sockets++
	return withSocket(c)
}

func (s *Server) closed(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.sockets--
	select {
	case s.ended <- struct{}{}:
	default:
	}
}
