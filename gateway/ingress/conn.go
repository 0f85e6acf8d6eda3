package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/exchange/account"
)

const (
	// writeTimeout is how long a caller may take to accept minWriteProgress bytes.
	// It limits the time spent on a caller that does not read.
	writeTimeout = 10 * time.Second
	// bodyTimeout is the time in which one request body must arrive.
	bodyTimeout = 10 * time.Second
	// idleFactor multiplies the configured idle timeout: a caller that measures the
	// idle time differently must not send a request just as the connection closes.
	idleFactor = 3
	// defaultIdleTimeout applies if no idle timeout is configured.
	defaultIdleTimeout = 60 * time.Second
	// maxPipelined is the largest number of requests of one connection in flight,
	// and so also limits the answers buffered for a caller that does not read.
	maxPipelined = 8
	// maxQueued is maxPipelined and one refusal after them.
	maxQueued = maxPipelined + 1
)

// pending is a request whose answer has not been written yet.
type pending struct {
	RequestRecord
	answer chan *protocol.Response
	// last is set if no request is read after this one. closes is set if the
	// answer announces that the connection closes.
	last   bool
	closes bool
}

// conn is one caller's connection. One goroutine reads its requests, and another
// writes their answers in the order of the requests.
type conn struct {
	server *Server
	socket *socket
	// nc is the codec's connection on top of the socket.
	nc network.Conn
	// reading holds the memory of the request that is being read, and readAhead of the
	// bytes read ahead, in bytes. memory holds that of the connection itself, and of the
	// requests in flight with their answers.
	reading   *account.Holder
	readAhead int64
	memory    *account.Holder
	number    uint64
	queue     chan *pending

	mu sync.Mutex
	// unanswered holds the requests whose answers are not written yet, in order. The
	// waiting request is not among them.
	unanswered []*pending
	// requests is the number of requests read completely.
	requests int
	// end is how the connection ended; it is valid if ended is set.
	end   End
	ended bool
	// lastByte is when bytes last arrived. discardedBytes is the number of bytes
	// read after the last request that was accepted.
	lastByte       time.Time
	discardedBytes int64
	// waiting is a request that was read and waits for its turn. readingAhead is set
	// while the reader reads ahead in the meantime.
	waiting      *pending
	readingAhead bool
	// callerGone is set if the caller disconnected while a request waited.
	callerGone bool
	// finished is signalled when an answer was written or has failed.
	finished *sync.Cond
	// closing is set if no further request is accepted.
	closing bool
	// writeErr is the error after which no further answer can be written.
	writeErr error
	// awaitingRequest is set while the reader waits for the first byte of a request.
	awaitingRequest bool
	// lingering is set if the reader only waits for the caller to close.
	lingering bool
	opened    time.Time
	// idleSince is when the connection last became idle.
	idleSince time.Time
}

func newConn(s *Server, sock *socket, nc network.Conn) *conn {
	c := &conn{server: s, socket: sock, memory: sock.memory, nc: nc, number: s.accepted.Add(1), queue: make(chan *pending, maxQueued), lastByte: time.Now(), opened: time.Now()}
	c.finished = sync.NewCond(&c.mu)
	c.reading = s.account.NewHolder(func() { _ = sock.Conn.SetReadDeadline(pastDeadline) })
	c.reading.WatchCaller(sock.callerLeft)
	return c
}

// run serves the connection until it ends.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers(cancel)
	}()
	c.readRequests(ctx)
	if c.hasUnanswered() {
		// The caller disconnected, so nobody waits for the requests in flight.
		cancel()
	}
	close(c.queue)
	<-written
	_ = c.nc.Close()
	c.server.connectionEnded(c.connectionEnd())
}

func (c *conn) hasUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unanswered) > 0
}

// dispatch hands a request to the Handler. It returns false if the connection
// accepts no more requests.
func (c *conn) dispatch(ctx context.Context, r *Request) bool {
	mayPipeline := c.mayPipeline(r.Request)
	c.mu.Lock()
	p := c.newPending(r.Request, r.Received)
	p.held = r.held
	c.waiting = p
	// A caller resends a request that follows an answer which closes the
	// connection. A request that may run only once must not have started then.
	turn := c.awaitTurn(func() bool {
		return len(c.unanswered) == 0 || (mayPipeline && len(c.unanswered) < maxPipelined)
	})
	c.waiting = nil
	if !turn || c.mustNotQueue() {
		end := RequestEnd{RequestRecord: p.RequestRecord, Fate: c.undispatchedFate(), Err: c.writeErr, Ended: time.Now()}
		c.mu.Unlock()
		c.server.requestEnded(end)
		return false
	}
	p.last = r.ConnectionClose()
	c.unanswered = append(c.unanswered, p)
	c.mu.Unlock()
	c.server.counters.handled.Add(1)
	c.queue <- p
	go func() {
		c.submitAnswer(p, c.callHandler(p, func() *protocol.Response { return c.server.handler.Serve(ctx, r) }))
	}()
	return !p.last
}

// mustNotQueue reports whether a request that was just read would be refused and
// the refusal would have to wait for earlier answers. It must be called with mu
// held.
func (c *conn) mustNotQueue() bool {
	// The last of the earlier answers announces that the connection closes, unless
	// its writing has begun.
	return c.server.handlerRefuses.Load() && len(c.unanswered) > 0 && c.unanswered[len(c.unanswered)-1].WriteBegun.IsZero()
}

// undispatchedFate returns the fate of a request that was read and is not handed to
// the Handler. It must be called with mu held.
func (c *conn) undispatchedFate() Fate {
	switch {
	case c.writeErr != nil:
		return c.unwrittenFate(c.writeErr)
	case c.callerGone && !c.closing:
		return CallerLeft
	}
	return NotTaken
}

// newPending returns the pending entry of a request that was read. It must be called
// with mu held.
func (c *conn) newPending(r *protocol.Request, received time.Time) *pending {
	return &pending{
		RequestRecord: RequestRecord{Request: r, Connection: c.number, Position: c.requests, Received: received},
		answer:        make(chan *protocol.Response, 1),
	}
}

// submitAnswer passes an answer to the writing goroutine.
func (c *conn) submitAnswer(p *pending, r *protocol.Response) {
	c.mu.Lock()
	p.Ready = time.Now()
	c.mu.Unlock()
	p.answer <- r
}

// rejectUnreadable answers a request that could not be read, after the requests in
// flight. It does nothing if its caller was already informed that the connection
// closes.
func (c *conn) rejectUnreadable(status int) {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return
	}
	p := c.newPending(nil, time.Now())
	p.last = true
	c.unanswered = append(c.unanswered, p)
	c.setEnd(EndRefused)
	c.mu.Unlock()
	c.server.countRead()
	c.submitAnswer(p, plainAnswer(status))
	c.queue <- p
}
