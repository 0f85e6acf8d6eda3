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
	// maxHandlers is the largest number of messages of one connection that are
	// handled concurrently. Some handlers wait for a target, so the number is
	// larger than the processors of a node require.
	maxHandlers = 128
	// maxSilence is the time without a received message after which a failed
	// call closes the connection, because it may have failed in one direction
	// only.
	maxSilence = 600 * time.Millisecond
)

var (
	// ErrClosed reports that a connection, a transport or an agent has ended.
	ErrClosed = errors.New("control connection closed")
	// ErrSilent reports a call whose peer has sent nothing for some time.
	ErrSilent = errors.New("nothing arrives on the control connection")
)

// RemoteError is an error that the called node returned.
type RemoteError struct {
	// Peer is the name of the called node and Text is its error.
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

	// in checks received frames and out seals sent ones.
	in  *sealer
	out *sealer

	// writeMu serializes the use of out; mu protects pendingCalls and nextID.
	writeMu      sync.Mutex
	mu           sync.Mutex
	pendingCalls map[uint64]chan Envelope
	nextID       uint64
	done         chan struct{}
	lastUse      atomic.Int64
	lastRead     atomic.Int64
	handlers     chan struct{}
}

func newConn(t *Transport, ws *websocket.Conn, r role, s session) *conn {
	other := roleAcceptor
	if r == roleAcceptor {
		other = roleDialer
	}
	c := &conn{
		t:            t,
		ws:           ws,
		peer:         s.peer,
		in:           newSealer(s.key, other),
		out:          newSealer(s.key, r),
		pendingCalls: make(map[uint64]chan Envelope),
		done:         make(chan struct{}),
		handlers:     make(chan struct{}, maxHandlers),
	}
	c.markUsed()
	c.lastRead.Store(time.Now().UnixNano())
	return c
}

// markUsed restarts the idle timeout.
func (c *conn) markUsed() { c.lastUse.Store(time.Now().UnixNano()) }

// closeIfSilent closes a connection on which nothing was received within
// maxSilence.
func (c *conn) closeIfSilent(now time.Time) {
	if now.Sub(time.Unix(0, c.lastRead.Load())) >= maxSilence {
		c.ws.CloseNow()
	}
}

// idle returns the time since the connection was last used.
func (c *conn) idle(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastUse.Load()))
}

// run receives messages until the connection ends.
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
		c.markUsed()
		c.dispatch(ctx, e)
	}
}

// dispatch passes a reply to its caller, and runs the handler of any other
// message in a goroutine.
func (c *conn) dispatch(ctx context.Context, e Envelope) {
	if e.Reply {
		c.deliverReply(e)
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

// reply answers a call with body or failure. If the body is too large, the
// caller gets that as an error.
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

// deliverReply passes a reply to the pending call with its ID. It drops the
// reply if the caller no longer waits.
func (c *conn) deliverReply(e Envelope) {
	c.mu.Lock()
	ch := c.pendingCalls[e.ID]
	delete(c.pendingCalls, e.ID)
	c.mu.Unlock()
	if ch != nil {
		ch <- e
	}
}

// write seals and sends an envelope. A failed write closes the connection.
func (c *conn) write(ctx context.Context, e Envelope) error {
	data, err := Encode(e)
	if err != nil {
		return err
	}
	// The end of its context during a write closes the connection. The caller's
	// deadline is therefore not used: a caller with a short deadline must not
	// break the calls of others.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	frame := c.out.seal(data)
	if err := c.ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
		c.ws.CloseNow()
		return errors.Wrapf(err, "write to %s", c.peer)
	}
	c.markUsed()
	c.t.stats.sentMessages.Add(1)
	c.t.stats.sentBytes.Add(int64(len(frame)))
	return nil
}

// call sends a message and waits for its reply. If silence is not 0, it gives up when no
// message has arrived on the connection for that time.
func (c *conn) call(ctx context.Context, kind Kind, body cbor.RawMessage, silence time.Duration) (Envelope, error) {
	ch := make(chan Envelope, 1)
	c.mu.Lock()
	c.nextID++
	id := c.nextID
	c.pendingCalls[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pendingCalls, id)
		c.mu.Unlock()
	}()
	if err := c.write(ctx, Envelope{Version: Version, Kind: kind, ID: id, Body: body}); err != nil {
		return Envelope{}, err
	}
	start, quiet := time.Now(), make(<-chan time.Time)
	if silence > 0 {
		quiet = time.After(silence)
	}
	for {
		select {
		case e := <-ch:
			return e, nil
		case <-c.done:
			return Envelope{}, errors.Wrapf(ErrClosed, "call %s", c.peer)
		case <-ctx.Done():
			return Envelope{}, errors.Wrapf(ctx.Err(), "call %s", c.peer)
		case now := <-quiet:
			left := silence - now.Sub(later(start, time.Unix(0, c.lastRead.Load())))
			if left <= 0 {
				return Envelope{}, errors.Wrapf(ErrSilent, "call %s", c.peer)
			}
			quiet = time.After(left)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
