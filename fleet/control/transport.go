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
	controlPath      = "/control"
	handshakeTimeout = 5 * time.Second
	idleTimeout      = 60 * time.Second
	sweepInterval    = 10 * time.Second
	// MinKeyBytes is the minimum length of the shared key.
	MinKeyBytes = 16
	// maxHeadBytes limits the head of the request that opens a connection, and that of
	// its answer.
	maxHeadBytes = 16 << 10
	// maxInbound is the largest number of connections from other nodes.
	maxInbound = 512
)

// ErrBackingOff reports that a peer is not dialled within the caller's deadline,
// because earlier attempts have failed and the backoff is longer.
var ErrBackingOff = errors.New("connection attempt delayed by backoff")

// Peer holds the name, the location and the addresses of a node.
type Peer struct {
	// Name identifies the node; empty accepts any node at the address.
	Name string `cbor:"1,keyasint" json:"name"`
	// AvailabilityZone and Region are where the node runs.
	AvailabilityZone string `cbor:"2,keyasint" json:"availability_zone"`
	Region           string `cbor:"3,keyasint" json:"region"`
	// PeerAddress is the address for forwarded requests and ControlAddress the
	// one for control messages.
	PeerAddress    string `cbor:"4,keyasint" json:"peer_address"`
	ControlAddress string `cbor:"5,keyasint" json:"control_address"`
}

// describe returns the name of the node, or its address if the name is unknown.
func (p Peer) describe() string {
	if p.Name == "" {
		return p.ControlAddress
	}
	return p.Name
}

// Handler handles one message from the named node. The reply is sent only if
// the sender expects one.
type Handler func(ctx context.Context, from string, body []byte) (reply any, err error)

// Config holds what a Transport needs.
type Config struct {
	// Name is this node's name.
	Name string
	// Key is the fleet's shared key, at least MinKeyBytes long.
	Key []byte
	// Seed seeds the jitter of the backoff, which makes it repeatable.
	Seed uint64
	// OnTraffic, if it is not nil, is called with the bytes of the bodies of each message
	// that this node sends or calls with, and of the answer.
	OnTraffic func(to Peer, kind Kind, bytes int)
}

// Transport sends messages to other nodes and receives theirs. It opens a
// connection when one is first needed and closes it after idleTimeout.
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

// link is the outgoing connection to one control address.
type link struct {
	// lock protects conn and backoff. A goroutine holds it by sending a token,
	// so that others can stop waiting for it when their contexts end.
	lock    chan struct{}
	conn    *conn
	backoff Backoff
	// name is the peer's name; peerConnected is set if the peer has connected to
	// this node since this node last tried to connect to it.
	name          string
	peerConnected atomic.Bool
}

// New returns a Transport, which can send. It receives when Serve is called.
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
	mux.HandleFunc(controlPath, t.accept)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: handshakeTimeout, MaxHeaderBytes: maxHeadBytes}
	go t.sweep()
	return t, nil
}

// Handle sets the handler for a kind. Messages of a kind without a handler are
// ignored and counted.
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

// Counters returns a snapshot of the Transport's Stats.
func (t *Transport) Counters() Counters { return t.stats.Counters() }

// Serve accepts connections until Close is called, and then returns nil.
func (t *Transport) Serve(l net.Listener) error {
	err := t.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve control connections")
}

// Close closes all connections and ends the Transport.
func (t *Transport) Close() error {
	t.cancel()
	return errors.Wrap(t.server.Close(), "close control transport")
}

// Send sends a message and expects no reply. A nil error means that the message
// was written to the connection, not that it arrived.
func (t *Transport) Send(ctx context.Context, to Peer, kind Kind, msg any) error {
	body, err := encoding.Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode control message")
	}
	c, err := t.connect(ctx, to)
	if err != nil {
		return err
	}
	t.countTraffic(to, kind, len(body))
	return c.write(ctx, Envelope{Version: Version, Kind: kind, Body: body})
}

func (t *Transport) countTraffic(to Peer, kind Kind, bytes int) {
	if t.cfg.OnTraffic != nil {
		t.cfg.OnTraffic(to, kind, bytes)
	}
}

// Call sends a message and decodes the answer into reply, unless reply is nil.
// An error that the other node returns is a *RemoteError.
func (t *Transport) Call(ctx context.Context, to Peer, kind Kind, msg, reply any) error {
	return t.call(ctx, to, kind, msg, reply, 0)
}

// CallPatiently is like Call, but gives up when it has no connection or no message of the
// peer has arrived for the given time, though not while other messages arrive: the answer
// may be behind them.
func (t *Transport) CallPatiently(ctx context.Context, to Peer, kind Kind, msg, reply any, silence time.Duration) error {
	return t.call(ctx, to, kind, msg, reply, silence)
}

func (t *Transport) call(ctx context.Context, to Peer, kind Kind, msg, reply any, silence time.Duration) error {
	body, err := encoding.Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode control message")
	}
	connecting, cancel := ctx, context.CancelFunc(func() {})
	if silence > 0 {
		connecting, cancel = context.WithTimeout(ctx, silence)
	}
	c, err := t.connect(connecting, to)
	cancel()
	if err != nil {
		return err
	}
	e, err := c.call(ctx, kind, body, silence)
	if err != nil {
		c.closeIfSilent(time.Now())
		return err
	}
	t.countTraffic(to, kind, len(body)+len(e.Body))
	if e.Error != "" {
		return &RemoteError{Peer: to.Name, Text: e.Error}
	}
	if reply == nil {
		return nil
	}
	return Unmarshal(e.Body, reply)
}

// connect returns the open connection to a peer, or dials the peer.
func (t *Transport) connect(ctx context.Context, to Peer) (*conn, error) {
	t.mu.Lock()
	l := t.links[to.ControlAddress]
	if l == nil {
		l = &link{lock: make(chan struct{}, 1), name: to.Name}
		t.links[to.ControlAddress] = l
	}
	t.mu.Unlock()

	select {
	case l.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "connect to %s", to.describe())
	}
	defer func() { <-l.lock }()
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
	if err := l.awaitBackoff(ctx); err != nil {
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

// awaitBackoff waits until the backoff of the link allows another dial. It
// clears the backoff of a peer that has connected to this node.
func (l *link) awaitBackoff(ctx context.Context) error {
	if l.peerConnected.Swap(false) {
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

// markPeerConnected records that a peer has connected to this node.
func (t *Transport) markPeerConnected(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		if l.name == name {
			l.peerConnected.Store(true)
		}
	}
}

// dialClient opens connections. The address of a node may belong to something else by
// now, whose answer can be of any kind and length.
var dialClient = &http.Client{
	Transport:     &http.Transport{MaxResponseHeaderBytes: maxHeadBytes, DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

func (t *Transport) dial(ctx context.Context, to Peer) (*conn, error) {
	if err := t.ctx.Err(); err != nil {
		return nil, ErrClosed
	}
	t.stats.dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+to.ControlAddress+controlPath, &websocket.DialOptions{HTTPClient: dialClient})
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(maxHandshakeBytes)
	s, err := handshake(ctx, ws, roleDialer, t.cfg.Name, t.cfg.Key)
	if err == nil && to.Name != "" && s.peer != to.Name {
		err = errors.Newf("unexpected name of the node at %s: %s", to.ControlAddress, s.peer)
	}
	if err != nil {
		ws.CloseNow()
		return nil, err
	}
	ws.SetReadLimit(MaxMessageBytes + tagBytes)
	c := newConn(t, ws, roleDialer, s)
	go c.run(t.ctx)
	return c, nil
}

// accept upgrades a request to a WebSocket and serves the connection until it
// ends.
func (t *Transport) accept(w http.ResponseWriter, r *http.Request) {
	if !t.admitInbound() {
		http.Error(w, "too many control connections", http.StatusServiceUnavailable)
		return
	}
	defer t.releaseInbound()
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
	t.markPeerConnected(s.peer)
	ws.SetReadLimit(MaxMessageBytes + tagBytes)
	newConn(t, ws, roleAcceptor, s).run(t.ctx)
}

// admitInbound reports whether another inbound connection is allowed, and if so
// counts it until releaseInbound is called.
func (t *Transport) admitInbound() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inbound >= maxInbound {
		return false
	}
	t.inbound++
	return true
}

func (t *Transport) releaseInbound() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inbound--
}

// sweep periodically closes idle connections and deletes unused links.
func (t *Transport) sweep() {
	ticker := time.NewTicker(sweepInterval)
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

// closeIdle closes idle connections and deletes the links that have neither a
// connection nor a running backoff. It skips links that are in use.
func (t *Transport) closeIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, l := range t.links {
		select {
		case l.lock <- struct{}{}:
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
		<-l.lock
	}
}
