package control

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

const (
	path             = "/control"
	handshakeTimeout = 5 * time.Second
	idleTimeout      = 60 * time.Second
	idleSweep        = 10 * time.Second
	// MinKeyBytes is the least length of the shared key.
	MinKeyBytes = 16
	// maxInbound bounds the connections that other nodes hold to this one.
	maxInbound = 512
)

// ErrBackingOff reports a peer that may not be dialled again, after earlier
// failures, before the caller's deadline.
var ErrBackingOff = errors.New("waiting before the next connection attempt")

// Peer says what is needed to reach a node.
type Peer struct {
	// Name identifies the node; empty accepts any node at the address.
	Name string `cbor:"1,keyasint" json:"name"`
	// AvailabilityZone and Region are where it runs.
	AvailabilityZone string `cbor:"2,keyasint" json:"availability_zone"`
	Region           string `cbor:"3,keyasint" json:"region"`
	// PeerAddress takes forwarded requests and ControlAddress control messages.
	PeerAddress    string `cbor:"4,keyasint" json:"peer_address"`
	ControlAddress string `cbor:"5,keyasint" json:"control_address"`
}

// describe names the node, or its address while the name is not known.
func (p Peer) describe() string {
	if p.Name == "" {
		return p.ControlAddress
	}
	return p.Name
}

// Handler answers one message from the named node. The reply is sent only if
// the sender asked for one.
type Handler func(ctx context.Context, from string, body []byte) (reply any, err error)

// Config holds what a Transport needs.
type Config struct {
	// Name is this node's name.
	Name string
	// Key is the fleet's shared key, at least MinKeyBytes long.
	Key []byte
	// Seed makes the jitter of reconnects repeatable.
	Seed uint64
}

// Transport sends messages to other nodes and receives theirs. A connection is
// opened when it is first needed and closed when it has been idle for a minute.
type Transport struct {
	cfg    Config
	stats  Stats
	server *http.Server
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	rng      *rand.Rand
	handlers map[Kind]Handler
	links    map[string]*link
	inbound  int
}

// link is the outgoing side towards one control address.
type link struct {
	// busy holds a token while a caller looks at or opens the connection.
	busy    chan struct{}
	conn    *conn
	backoff Backoff
	// name is the peer's name; heard says that it has connected to this node
	// since the last attempt to reach it.
	name  string
	heard atomic.Bool
}

// New returns a Transport that can send; Serve makes it receive.
func New(cfg Config) (*Transport, error) {
	if len(cfg.Key) < MinKeyBytes {
		return nil, errors.Newf("shared key of %d bytes; at least %d are needed", len(cfg.Key), MinKeyBytes)
	}
	if cfg.Name == "" || len(cfg.Name) > maxNameBytes {
		return nil, errors.Newf("node name of %d bytes; 1 to %d are allowed", len(cfg.Name), maxNameBytes)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		cfg:      cfg,
		ctx:      ctx,
		cancel:   cancel,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		handlers: make(map[Kind]Handler),
		links:    make(map[string]*link),
	}
	mux := http.NewServeMux()
	mux.HandleFunc(path, t.accept)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: handshakeTimeout}
	go t.sweep()
	return t, nil
}

// Handle sets the handler for a kind. Kinds without one are ignored and counted.
func (t *Transport) Handle(kind Kind, h Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[kind] = h
}

func (t *Transport) handler(kind Kind) Handler {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handlers[kind]
}

// Counters returns what the Transport has carried.
func (t *Transport) Counters() Counters { return t.stats.Counters() }

// Serve accepts connections until Close; it returns nil then.
func (t *Transport) Serve(l net.Listener) error {
	err := t.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve control")
}

// Close ends all connections.
func (t *Transport) Close() error {
	t.cancel()
	return errors.Wrap(t.server.Close(), "close control")
}

// Send delivers a message without a reply. A nil error means that it was
// handed to the connection, not that it arrived.
func (t *Transport) Send(ctx context.Context, to Peer, kind Kind, msg any) error {
	body, err := encoding.Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode control message")
	}
	c, err := t.connect(ctx, to)
	if err != nil {
		return err
	}
	return c.write(ctx, Envelope{Version: Version, Kind: kind, Body: body})
}

// Call delivers a message and decodes the answer into reply, unless that is
// nil. A failure reported by the other node is a *RemoteError.
func (t *Transport) Call(ctx context.Context, to Peer, kind Kind, msg, reply any) error {
	body, err := encoding.Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode control message")
	}
	c, err := t.connect(ctx, to)
	if err != nil {
		return err
	}
	e, err := c.call(ctx, kind, body)
	if err != nil {
		c.closeIfSilent(time.Now())
		return err
	}
	if e.Error != "" {
		return &RemoteError{Peer: to.Name, Text: e.Error}
	}
	if reply == nil {
		return nil
	}
	return Unmarshal(e.Body, reply)
}

func (t *Transport) connect(ctx context.Context, to Peer) (*conn, error) {
	t.mu.Lock()
	l := t.links[to.ControlAddress]
	if l == nil {
		l = &link{busy: make(chan struct{}, 1), name: to.Name}
		t.links[to.ControlAddress] = l
	}
	t.mu.Unlock()

	select {
	case l.busy <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "connect to %s", to.describe())
	}
	defer func() { <-l.busy }()
	if l.conn != nil {
		select {
		case <-l.conn.done:
			l.conn = nil
		default:
			if to.Name == "" || l.conn.peer == to.Name {
				return l.conn, nil
			}
			l.conn.ws.CloseNow()
			l.conn = nil
		}
	}
	if err := l.awaitTurn(ctx); err != nil {
		return nil, errors.Wrapf(err, "connect to %s", to.describe())
	}
	c, err := t.dial(ctx, to)
	if err != nil {
		t.mu.Lock()
		l.backoff.Fail(time.Now(), t.rng)
		t.mu.Unlock()
		return nil, errors.Wrapf(err, "connect to %s", to.describe())
	}
	l.backoff.Succeed()
	l.conn = c
	return c, nil
}

// awaitTurn waits until the link may be dialled again. A peer that has
// connected to this node may be dialled at once.
func (l *link) awaitTurn(ctx context.Context) error {
	if l.heard.Swap(false) {
		l.backoff.Succeed()
	}
	wait := l.backoff.Wait(time.Now())
	if wait == 0 {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return ErrBackingOff
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// hear notes that a peer has connected to this node.
func (t *Transport) hear(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		if l.name == name {
			l.heard.Store(true)
		}
	}
}

func (t *Transport) dial(ctx context.Context, to Peer) (*conn, error) {
	if err := t.ctx.Err(); err != nil {
		return nil, ErrClosed
	}
	t.stats.dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+to.ControlAddress+path, nil)
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(maxHandshakeBytes)
	s, err := handshake(ctx, ws, roleDialer, t.cfg.Name, t.cfg.Key)
	if err == nil && to.Name != "" && s.peer != to.Name {
		err = errors.Newf("%s answers as %s", to.ControlAddress, s.peer)
	}
	if err != nil {
		ws.CloseNow()
		return nil, err
	}
	ws.SetReadLimit(MaxMessageBytes + sealBytes)
	c := newConn(t, ws, roleDialer, s)
	go c.run(t.ctx)
	return c, nil
}

func (t *Transport) accept(w http.ResponseWriter, r *http.Request) {
	if !t.admit() {
		http.Error(w, "too many control connections", http.StatusServiceUnavailable)
		return
	}
	defer t.release()
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	ws.SetReadLimit(maxHandshakeBytes)
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	s, err := handshake(ctx, ws, roleAcceptor, t.cfg.Name, t.cfg.Key)
	cancel()
	if err != nil {
		t.stats.refusedPeers.Add(1)
		ws.CloseNow()
		return
	}
	t.hear(s.peer)
	ws.SetReadLimit(MaxMessageBytes + sealBytes)
	newConn(t, ws, roleAcceptor, s).run(t.ctx)
}

func (t *Transport) admit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inbound >= maxInbound {
		return false
	}
	t.inbound++
	return true
}

func (t *Transport) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inbound--
}

// sweep closes idle connections and forgets links that are no longer used.
func (t *Transport) sweep() {
	ticker := time.NewTicker(idleSweep)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case now := <-ticker.C:
			t.closeIdle(now)
		}
	}
}

func (t *Transport) closeIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, l := range t.links {
		select {
		case l.busy <- struct{}{}:
		default:
			continue
		}
		if l.conn != nil && l.conn.idle(now) > idleTimeout {
			l.conn.ws.CloseNow()
			l.conn = nil
		}
		if l.conn == nil && l.backoff.Wait(now) == 0 {
			delete(t.links, address)
		}
		<-l.busy
	}
}
