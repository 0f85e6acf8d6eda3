package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	writeTimeout   = 5 * time.Second
	handlerTimeout = 10 * time.Second
	// maxHandlers bounds the messages of one connection that are handled at
	// once; some wait for a target, so there are more than a node's processor needs.
	maxHandlers = 128
	// silenceMax is the time without a message after which an unanswered call
	// means a connection that is dead one way.
	silenceMax = 600 * time.Millisecond
)

// ErrClosed reports a connection or transport that has ended.
var ErrClosed = errors.New("control connection closed")

// RemoteError is a failure that the called node reported.
type RemoteError struct {
	// Peer is the node called and Text what it reported.
	Peer string
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Peer + ": " + e.Text }

// conn is one authenticated connection.
type conn struct {
	t    *Transport
	ws   *websocket.Conn
	peer string

	in  *sealer
	out *sealer

	writeMu  sync.Mutex
	mu       sync.Mutex
	waiting  map[uint64]chan Envelope
	nextID   uint64
	done     chan struct{}
	lastUse  atomic.Int64
	lastRead atomic.Int64
	handlers chan struct{}
}

func newConn(t *Transport, ws *websocket.Conn, r role, s session) *conn {
	other := roleAcceptor
	if r == roleAcceptor {
		other = roleDialer
	}
	c := &conn{
		t:        t,
		ws:       ws,
		peer:     s.peer,
		in:       newSealer(s.key, other),
		out:      newSealer(s.key, r),
		waiting:  make(map[uint64]chan Envelope),
		done:     make(chan struct{}),
		handlers: make(chan struct{}, maxHandlers),
	}
	c.touch()
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

func (c *conn) touch() { c.lastUse.Store(time.Now().UnixNano()) }

// closeIfSilent ends a connection on which nothing has arrived lately.
func (c *conn) closeIfSilent(now time.Time) {
	if now.Sub(time.Unix(0, c.lastRead.Load())) >= silenceMax {
		c.ws.CloseNow()
	}
}

func (c *conn) idle(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastUse.Load()))
}

// run reads until the connection ends.
func (c *conn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.ws.CloseNow()
	defer close(c.done)
	c.t.stats.connections.Add(1)
	defer c.t.stats.connections.Add(-1)
	for {
		_, frame, err := c.ws.Read(ctx)
		if err != nil {
			return
		}
		c.lastRead.Store(time.Now().UnixNano())
		c.t.stats.receivedMessages.Add(1)
		c.t.stats.receivedBytes.Add(int64(len(frame)))
		data, err := c.in.open(frame)
		if err != nil {
			c.t.stats.refusedPeers.Add(1)
			return
		}
		e, err := Decode(data)
		if err != nil {
			return
		}
		c.touch()
		c.dispatch(ctx, e)
	}
}

func (c *conn) dispatch(ctx context.Context, e Envelope) {
	if e.Reply {
		c.settle(e)
		return
	}
	h := c.t.handler(e.Kind)
	if h == nil {
		c.t.stats.unknownKinds.Add(1)
		if e.ID != 0 {
			c.reply(ctx, e, nil, errors.Newf("unknown kind %q", e.Kind))
		}
		return
	}
	select {
	case c.handlers <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-c.handlers }()
		ctx, cancel := context.WithTimeout(ctx, handlerTimeout)
		defer cancel()
		reply, err := h(ctx, c.peer, e.Body)
		if e.ID != 0 {
			c.reply(ctx, e, reply, err)
		}
	}()
}

func (c *conn) reply(ctx context.Context, to Envelope, body any, failure error) {
	e := Envelope{Version: Version, Kind: to.Kind, ID: to.ID, Reply: true}
	if failure != nil {
		e.Error = failure.Error()
	} else if body != nil {
		raw, err := encoding.Marshal(body)
		if err != nil {
			e.Error = err.Error()
		}
		e.Body = raw
	}
	err := c.write(ctx, e)
	if errors.Is(err, ErrTooLarge) {
		e.Body = nil
		e.Error = err.Error()
		_ = c.write(ctx, e)
	}
}

func (c *conn) settle(e Envelope) {
	c.mu.Lock()
	ch := c.waiting[e.ID]
	delete(c.waiting, e.ID)
	c.mu.Unlock()
	if ch != nil {
		ch <- e
	}
}

func (c *conn) write(ctx context.Context, e Envelope) error {
	data, err := Encode(e)
	if err != nil {
		return err
	}
	// A write cut off by its context ends the connection, so the caller's
	// deadline is not passed on: a caller in a hurry must not cut off others.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	frame := c.out.seal(data)
	if err := c.ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
		c.ws.CloseNow()
		return errors.Wrapf(err, "write to %s", c.peer)
	}
	c.touch()
	c.t.stats.sentMessages.Add(1)
	c.t.stats.sentBytes.Add(int64(len(frame)))
	return nil
}

func (c *conn) call(ctx context.Context, kind Kind, body cbor.RawMessage) (Envelope, error) {
	ch := make(chan Envelope, 1)
	c.mu.Lock()
	c.nextID++
	id := c.nextID
	c.waiting[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
	}()
	if err := c.write(ctx, Envelope{Version: Version, Kind: kind, ID: id, Body: body}); err != nil {
		return Envelope{}, err
	}
	select {
	case e := <-ch:
		return e, nil
	case <-c.done:
		return Envelope{}, errors.Wrapf(ErrClosed, "call %s", c.peer)
	case <-ctx.Done():
		return Envelope{}, errors.Wrapf(ctx.Err(), "call %s", c.peer)
	}
}
