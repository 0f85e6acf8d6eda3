package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
)

const (
	// writeTimeout bounds the writing to a caller that does not read: it is how
	// long it may take to accept minWritten bytes.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the reading of one request body.
	bodyTimeout = 10 * time.Second
	// idleFactor is how many times the limit an idle connection is kept: callers
	// that count the time differently must not meet a close with a request.
	idleFactor = 3
	// defaultIdleTimeout applies where no limit is set.
	defaultIdleTimeout = 60 * time.Second
	// maxPipelined bounds the requests of one connection in work at once, and so
	// the answers that are kept for a caller that does not read.
	maxPipelined = 8
	// maxQueued is the same with a refusal behind them.
	maxQueued = maxPipelined + 1
)

// pending is a request whose answer is due.
type pending struct {
	RequestRecord
	answer chan *protocol.Response
	// last says that no request is read after this one, and closes that the
	// answer says that the connection closes.
	last   bool
	closes bool
}

// conn is one caller's connection: a goroutine reads its requests, another
// writes their answers in order.
type conn struct {
	server *Server
	socket *socket
	// nc is the codec's connection over the socket.
	nc     network.Conn
	number uint64
	queue  chan *pending

	mu sync.Mutex
	// due holds the requests read whose answers are not written, in order.
	due []*pending
	// requests counts those read whole.
	requests int
	// end is how the connection ended, once ended is set.
	end   End
	ended bool
	// lastByte is when bytes last arrived, and unused the number of those read
	// after the last request that was taken.
	lastByte time.Time
	unused   int64
	// next is a request that was read and waits for its turn; queued says that
	// the reader reads ahead meanwhile.
	next   *pending
	queued bool
	// gone says that the caller was seen to leave while a request waited.
	gone bool
	// settled is signalled when an answer is no longer due.
	settled *sync.Cond
	// closing says that no further request is taken.
	closing bool
	// broken is why no answer can be written any more.
	broken error
	// awaiting says that the reader waits for the first byte of a request.
	awaiting bool
	// lingering says that the reader only waits for the caller to close.
	lingering bool
	opened    time.Time
	// idleSince is when the connection last became idle.
	idleSince time.Time
}

func newConn(s *Server, sock *socket, nc network.Conn) *conn {
	c := &conn{server: s, socket: sock, nc: nc, number: s.accepted.Add(1), queue: make(chan *pending, maxQueued), lastByte: time.Now(), opened: time.Now()}
	c.settled = sync.NewCond(&c.mu)
	return c
}

// run serves the connection until it ends.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAll(cancel)
	}()
	c.readAll(ctx)
	if c.hasUnanswered() {
		// The caller left: nobody waits for what is in work.
		cancel()
	}
	close(c.queue)
	<-written
	_ = c.nc.Close()
	c.server.connectionEnded(c.ending())
}

func (c *conn) hasUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.due) > 0
}

// take starts the work on a request; it reports false if the connection takes
// no more requests.
func (c *conn) take(ctx context.Context, r *Request) bool {
	repeatable := c.repeatable(r.Request)
	c.mu.Lock()
	p := c.newPending(r.Request, r.Received)
	c.next = p
	// A request behind an answer that closes the connection is sent again by
	// its caller, so one that may run once only must not have begun.
	turn := c.awaitTurn(func() bool {
		return len(c.due) == 0 || (repeatable && len(c.due) < maxPipelined)
	})
	c.next = nil
	if !turn || c.refusedBehindWork() {
		d := RequestEnd{RequestRecord: p.RequestRecord, Fate: c.untaken(), Err: c.broken, Ended: time.Now()}
		c.mu.Unlock()
		c.server.delivered(d)
		return false
	}
	p.last = r.ConnectionClose()
	c.due = append(c.due, p)
	c.mu.Unlock()
	c.server.ledger.passed.Add(1)
	c.queue <- p
	go func() {
		c.ready(p, c.serve(p, func() *protocol.Response { return c.server.handler.Serve(ctx, r) }))
	}()
	return !p.last
}

// refusedBehindWork reports whether a request that was just read would be refused
// behind answers that are due. It must be called with mu held.
func (c *conn) refusedBehindWork() bool {
	// The last answer due will say that the connection closes, unless its
	// writing has begun.
	return c.server.refusing.Load() && len(c.due) > 0 && c.due[len(c.due)-1].WriteBegun.IsZero()
}

// untaken returns the fate of a request whose turn does not come. It must be
// called with mu held.
func (c *conn) untaken() Fate {
	switch {
	case c.broken != nil:
		return c.unwritten(c.broken)
	case c.gone && !c.closing:
		return CallerLeft
	}
	return NotTaken
}

// newPending returns a request that was read. It must be called with mu held.
func (c *conn) newPending(r *protocol.Request, received time.Time) *pending {
	return &pending{
		RequestRecord: RequestRecord{Request: r, Connection: c.number, Position: c.requests, Received: received},
		answer:        make(chan *protocol.Response, 1),
	}
}

// ready hands an answer to the writer.
func (c *conn) ready(p *pending, r *protocol.Response) {
	c.mu.Lock()
	p.Ready = time.Now()
	c.mu.Unlock()
	p.answer <- r
}

// refuse answers a request that could not be read, behind those in work, unless
// its caller was told that the connection closes.
func (c *conn) refuse(status int) {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return
	}
	p := c.newPending(nil, time.Now())
	p.last = true
	c.due = append(c.due, p)
	c.endAs(EndRefused)
	c.mu.Unlock()
	c.server.received()
	c.ready(p, plainAnswer(status))
	c.queue <- p
}
