// Package faultproxy is a TCP proxy that delays, drops, holds, reorders and truncates
// the bytes of each direction independently, and closes or refuses connections.
package faultproxy

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Proxy forwards connections to one upstream address.
type Proxy struct {
	listener net.Listener
	upstream string

	mu     sync.Mutex
	faults [directionCount]Fault
	held   [directionCount][]heldSegment
	lost   [directionCount]int64
	// sentAt is when a direction with a bandwidth will have transmitted all so far.
	sentAt [directionCount]time.Time
	links  map[*link]struct{}
	refuse bool
	closed bool
}

// heldSegment is a segment that waits for Release.
type heldSegment struct {
	pipe *pipe
	data []byte // empty for the end of the stream
}

// Listen starts a proxy on the listen address; port 0 takes a free port.
func Listen(listen, upstream string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "fault proxy")
	}
	p := &Proxy{listener: l, upstream: upstream, links: make(map[*link]struct{})}
	go p.accept()
	return p, nil
}

// Address returns the IP address and port that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the fault of one direction from now on. Segments already held stay
// held until Release.
func (p *Proxy) Set(d Direction, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[d] = f
}

// Fault returns the fault of one direction.
func (p *Proxy) Fault(d Direction) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[d]
}

// Refuse sets whether new connections are reset immediately.
func (p *Proxy) Refuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
}

// Cut closes all connections and drops the held segments.
func (p *Proxy) Cut() {
	p.mu.Lock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	p.held = [directionCount][]heldSegment{}
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// Held returns the number of segments held in a direction.
func (p *Proxy) Held(d Direction) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held[d])
}

// Lost returns the number of bytes dropped in a direction.
func (p *Proxy) Lost(d Direction) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost[d]
}

// Release delivers the held segments of a direction in the given order and ends
// Hold there.
func (p *Proxy) Release(d Direction, order Order) {
	p.mu.Lock()
	p.faults[d].Hold = false
	held := p.held[d]
	p.held[d] = nil
	p.mu.Unlock()
	if order == Reversed {
		slices.Reverse(held)
	}
	for _, h := range held {
		h.pipe.deliver(h.data)
	}
}

// Close stops the proxy and closes all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.Cut()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

// connect serves one connection of a caller.
func (p *Proxy) connect(caller net.Conn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	if refuse {
		reset(caller)
		return
	}
	upstream, err := net.Dial("tcp", p.upstream)
	if err != nil {
		reset(caller)
		return
	}
	time.Sleep(p.roundTrip()) // the round trip of a TCP handshake over a real network
	l := &link{proxy: p, caller: caller, upstream: upstream}
	p.mu.Lock()
	closed := p.closed
	p.links[l] = struct{}{}
	p.mu.Unlock()
	if closed {
		l.close()
		return
	}
	l.run()
}

// roundTrip returns the sum of the delays of both directions.
func (p *Proxy) roundTrip() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[ToUpstream].Delay + p.faults[ToCaller].Delay
}

// hold buffers a segment and returns true if the direction holds segments now.
func (p *Proxy) hold(d Direction, s heldSegment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.faults[d].Hold {
		return false
	}
	p.held[d] = append(p.held[d], s)
	return true
}

// drop reports whether a segment of n bytes is dropped, and counts it: the direction
// drops everything now, or the connection has already lost a segment.
func (p *Proxy) drop(d Direction, alreadyLost bool, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !alreadyLost && !p.faults[d].BlackHole {
		return false
	}
	p.lost[d] += int64(n)
	return true
}

// transmit returns when n more bytes will have been transmitted in a direction.
func (p *Proxy) transmit(d Direction, n int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if rate := p.faults[d].BytesPerSecond; rate > 0 {
		if p.sentAt[d].Before(now) {
			p.sentAt[d] = now
		}
		p.sentAt[d] = p.sentAt[d].Add(time.Duration(n) * time.Second / time.Duration(rate))
		return p.sentAt[d]
	}
	return now
}

func (p *Proxy) forget(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
