package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"filbertmill.example/testbed/pause"
)

const (
	// segmentBytes is the most bytes that one read takes. Connections that share a
	// bandwidth take turns after each read.
	segmentBytes = 32 << 10
	// pipeSegments is the most segments queued in one direction of a link.
	pipeSegments = 256
)

// link is one proxied connection.
type link struct {
	proxy    *Proxy
	caller   net.Conn
	upstream net.Conn
	once     sync.Once
}

// run forwards bytes in both directions until both have ended.
func (l *link) run() {
	var pipes sync.WaitGroup
	pipes.Go(func() { l.pipe(ToUpstream, l.caller, l.upstream) })
	pipes.Go(func() { l.pipe(ToCaller, l.upstream, l.caller) })
	pipes.Wait()
	if !l.hasHeldSegment() {
		l.close()
	}
}

// hasHeldSegment reports whether a segment of the link still waits for Release.
func (l *link) hasHeldSegment() bool {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	for _, held := range l.proxy.held {
		for _, h := range held {
			if h.pipe.link == l {
				return true
			}
		}
	}
	return false
}

// close closes both connections. It may be called more than once.
func (l *link) close() {
	l.once.Do(func() {
		l.caller.Close()
		l.upstream.Close()
		l.proxy.forget(l)
	})
}

// pipe forwards one direction until it has ended.
func (l *link) pipe(d Direction, from, to net.Conn) {
	p := &pipe{link: l, direction: d, from: from, to: to, queue: make(chan segment, pipeSegments)}
	go p.read()
	p.write()
}

// segment is the result of one read.
type segment struct {
	data []byte // empty for the end of the stream
	due  time.Time
}

// pipe is one direction of a link.
type pipe struct {
	link      *link
	direction Direction
	from, to  net.Conn
	queue     chan segment

	mu      sync.Mutex // serializes writes
	written int64      // bytes delivered
}

// read queues what is read, until the stream ends or fails.
func (p *pipe) read() {
	defer close(p.queue)
	buf := make([]byte, segmentBytes)
	for {
		n, err := p.from.Read(buf)
		delay := p.link.proxy.Fault(p.direction).Delay
		due := time.Now().Add(delay)
		if n > 0 {
			p.queue <- segment{data: append([]byte(nil), buf[:n]...), due: due}
		}
		if err == io.EOF {
			p.queue <- segment{due: due}
		}
		if err != nil {
			return
		}
	}
}

// write drops, holds or delivers the queued segments when they are due.
func (p *pipe) write() {
	lost := false
	ended := false
	for s := range p.queue {
		pause.Until(s.due)
		pause.Until(p.link.proxy.transmit(p.direction, len(s.data)))
		ended = len(s.data) == 0
		lost = p.link.proxy.drop(p.direction, lost, len(s.data))
		if lost {
			continue
		}
		if p.link.proxy.hold(p.direction, heldSegment{pipe: p, data: s.data}) {
			continue
		}
		p.deliver(s.data)
	}
	if !ended && !lost {
		p.link.close() // the connection was reset
	}
}

// deliver writes a segment, or the end of the stream if it is empty.
func (p *pipe) deliver(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(data) == 0 {
		if t, ok := p.to.(*net.TCPConn); ok {
			t.CloseWrite()
		}
		return
	}
	truncated := false
	if limit := p.link.proxy.Fault(p.direction).TruncateAfter; limit > 0 && p.written+int64(len(data)) >= limit {
		data = data[:max(0, limit-p.written)]
		truncated = true
	}
	n, err := p.to.Write(data)
	p.written += int64(n)
	if truncated || err != nil {
		p.link.close()
	}
}
