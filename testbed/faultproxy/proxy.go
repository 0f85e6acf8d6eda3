// Package faultproxy is a TCP proxy that delays, cuts, loses, holds, reorders
// and truncates what passes, for each direction alone.
package faultproxy

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Proxy passes connections on to one upstream address.
type Proxy struct {
	listener net.Listener
	upstream string

	mu     sync.Mutex
	faults [directions]Fault
	held   [directions][]heldSegment
	lost   [directions]int64
	links  map[*link]struct{}
	refuse bool
	closed bool
}

// heldSegment is a segment that waits for Release.
type heldSegment struct {
	pipe *pipe
	data []byte // empty for the end of the stream
}

// Listen starts a proxy on the listen address; port 0 picks one.
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

// Set changes the fault of one direction from now on. Segments that are held
// stay so until Release.
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

// Refuse says whether new connections are closed at once.
func (p *Proxy) Refuse(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse = refuse
}

// Cut closes all connections.
func (p *Proxy) Cut() {
	p.mu.Lock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	p.held = [directions][]heldSegment{}
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

// Lost returns the number of bytes lost in a direction.
func (p *Proxy) Lost(d Direction) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost[d]
}

// Release sends the held segments of a direction and ends Hold there.
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
	time.Sleep(p.roundTrip()) // the handshake that a real distance costs
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

// roundTrip is the sum of both delays.
func (p *Proxy) roundTrip() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[ToUpstream].Delay + p.faults[ToCaller].Delay
}

// hold keeps a segment if the direction holds now.
func (p *Proxy) hold(d Direction, s heldSegment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.faults[d].Hold {
		return false
	}
	p.held[d] = append(p.held[d], s)
	return true
}

// lose says whether a segment is lost: the direction loses what passes now, or
// the connection has already lost some.
func (p *Proxy) lose(d Direction, already bool, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !already && !p.faults[d].BlackHole {
		return false
	}
	p.lost[d] += int64(n)
	return true
}

func (p *Proxy) forget(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
