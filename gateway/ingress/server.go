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

	"filbertmill.example/exchange"
	"filbertmill.example/exchange/account"
)

// Before the listener closes, it accepts the connections that wait in its backlog:
// until none has arrived for backlogIdleTime, and for backlogTimeout at most.
const (
	backlogTimeout  = 200 * time.Millisecond
	backlogIdleTime = 10 * time.Millisecond
)

// Limits holds the limits on what a caller may send. A zero field sets no limit.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest sizes of one request, in bytes.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the limit from the first byte of a header to its last.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
}

// Request is one request that was read completely.
type Request struct {
	*protocol.Request
	// Content is its body; nil if it is empty. A large body is not in the protocol.Request.
	Content *exchange.BufferedBody
	// Received is the time at which its last byte was read.
	Received time.Time
	// held is its memory; nil if there is none.
	held   *requestMemory
	memory *account.Holder
}

// Memory returns the Holder of what waits for the caller to read, such as the answer. It is
// nil if the memory is not limited.
func (r *Request) Memory() *account.Holder { return r.memory }

// Handler answers requests. It may be called concurrently, also for requests of
// one connection.
type Handler interface {
	// Serve returns the answer. The context is cancelled when the caller
	// disconnects.
	Serve(ctx context.Context, r *Request) *protocol.Response
	// MayPipeline reports whether handling of a request may start before the
	// answers to earlier requests of its connection are written.
	MayPipeline(r *protocol.Request) bool
	// Limits returns the limits in force.
	Limits() Limits
}

// Server serves the connections of callers.
type Server struct {
	handler  Handler
	observer Observer
	// account limits the memory that callers hold, and memoryBytes is that of the process.
	// largestBody is the largest size of a body, in bytes, for which it has room.
	account     *account.Account
	memoryBytes int64
	largestBody atomic.Int64
	counters    counters
	accepted    atomic.Uint64
	listener    listener
	transport   network.Transporter
	draining    atomic.Bool
	// handlerRefuses is set once the Handler refuses every request that is read.
	handlerRefuses atomic.Bool
	// closingIdle is set once idle connections are to be closed.
	closingIdle atomic.Bool
	inFlight    atomic.Int64
	// writeTimeout is the write timeout of the sockets; tests shorten it.
	writeTimeout time.Duration
	// created is when Listen was called. lastArrival is the time from then until a
	// connection or a request last arrived. The time of day may jump during a drain,
	// which ends by this time.
	created     time.Time
	lastArrival atomic.Int64

	// running is set once Run was called; stopped is closed when Run returns.
	running atomic.Bool
	stopped chan struct{}

	mu    sync.Mutex
	conns map[*conn]bool
	// displaced counts the connections that were closed for want of room.
	displaced atomic.Int64
	// maxConns limits the number of open connections; 0 does not.
	maxConns int
	// openSockets is the number of connections accepted and not yet closed.
	// socketClosed receives a value, if there is room, whenever one is closed.
	openSockets  int
	socketClosed chan struct{}
}

// Resources are the limits on what the connections of callers may use together. A zero
// field stands for a default.
type Resources struct {
	// MemoryBytes is the memory of the process.
	MemoryBytes int64
	// Account limits what callers hold of it.
	Account *account.Account
	// Connections is the largest number of open connections.
	Connections int
}

// Listen returns a Server that listens on the address. Run makes it serve.
func Listen(address string, h Handler, o Observer, limits Resources) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	s := &Server{
		handler: h, observer: o, listener: listener{l.(*net.TCPListener)}, writeTimeout: writeTimeout, conns: make(map[*conn]bool),
		memoryBytes: limits.MemoryBytes, account: limits.Account, maxConns: limits.Connections, stopped: make(chan struct{}), socketClosed: make(chan struct{}, 1), created: time.Now(),
	}
	if s.memoryBytes <= 0 {
		s.memoryBytes = defaultMemoryBytes
	}
	if s.account == nil {
		_, s.account = account.NewRoom(s.memoryBytes)
	}
	s.largestBody.Store(-1)
	s.limitBodies(0)
	s.transport = standard.NewTransporter(&config.Options{Listener: s.listener, Network: "tcp", Addr: address, OnAccept: s.onAccept})
	return s, nil
}

// Addr returns the address that the Server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run accepts and serves connections until StopAccepting or Shutdown is called.
// It must be called once only.
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

// InFlight returns the number of requests that were read and not yet answered.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// SinceLastArrival returns the time since a connection or a request last arrived.
func (s *Server) SinceLastArrival() time.Duration {
	return time.Since(s.created) - time.Duration(s.lastArrival.Load())
}

func (s *Server) noteArrival() { s.lastArrival.Store(int64(time.Since(s.created))) }

// Drain makes each connection close after its next answer, unless further
// requests that were read from it wait for theirs.
func (s *Server) Drain() { s.draining.Store(true) }

// StopPipelining tells the Server that the Handler refuses all requests from now
// on. A request behind others in flight is then not handed to the Handler, because
// its refusal would have to wait for their answers. Instead, the connection is
// closed after the last of those answers, and callers immediately resend the
// requests that it left unanswered. Drain must have been called before.
func (s *Server) StopPipelining() { s.handlerRefuses.Store(true) }

// CloseIdle closes the connections on which no request is in flight, and from then
// on every connection that becomes idle.
func (s *Server) CloseIdle() {
	s.closingIdle.Store(true)
	for _, c := range s.openConns() {
		c.wake()
	}
}

// Shutdown closes the listener and every connection: idle ones immediately, the
// others after their last answer. It returns when all callers have closed their
// connections, or with an error when ctx ends; connections that are still open
// then stay open.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	if s.running.Load() {
		// Closing the listener resets connections that wait to be accepted, and with
		// them the requests already sent on them. Run accepts those first.
		if err := s.listener.SetDeadline(pastDeadline); err != nil && !errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "shut down")
		}
		select {
		case <-s.stopped:
		case <-time.After(backlogTimeout):
		case <-ctx.Done():
		}
	}
	if err := s.StopAccepting(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	s.CloseIdle()
	for s.countOpen() > 0 {
		select {
		case <-s.socketClosed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d connections of callers are open", s.countOpen())
		}
	}
	return nil
}

func (s *Server) countOpen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openSockets
}

// openConns returns the connections that are being served.
func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// StopAccepting closes the listener. Open connections are served further.
func (s *Server) StopAccepting() error { return errors.Wrap(s.listener.Close(), "close listener") }

func (s *Server) serve(ctx context.Context, nc network.Conn) {
	s.noteArrival()
	sock := socketOf(ctx)
	sock.writeTimeout = s.writeTimeout
	c := newConn(s, sock, nc)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer s.removeConn(c)
	c.run(ctx)
}

// onAccept counts a new connection; it is called before the next is accepted.
func (s *Server) onAccept(c net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openSockets++
	sock := c.(*socket)
	sock.memory = s.account.NewHolder(func() { _ = sock.Conn.Close() })
	spare := sock.memory.TryGrow(account.Connections, connectionBytes)
	if !spare {
		sock.memory.Add(account.Connections, connectionBytes)
	}
	if !spare || s.maxConns > 0 && s.openSockets > s.maxConns {
		s.makeRoom(c)
	}
	return withSocket(c)
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.reading.Close()
	c.memory.Close()
	delete(s.conns, c)
	s.openSockets--
	select {
	case s.socketClosed <- struct{}{}:
	default:
	}
}
