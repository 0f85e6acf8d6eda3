package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"filbertmill.example/testbed/pause"
)

const (
	// segmentBytes is the most that is read at once.
	segmentBytes = 32 << 10
	// pipeSegments is the most segments that wait in one direction.
	pipeSegments = 256
)

// link is one proxied connection.
type link struct {
	proxy    *Proxy
	caller   net.Conn
	upstream net.Conn
	once     sync.Once
}

// run passes bytes both ways until both ways have ended.
func (l *link) run() {
	var both sync.WaitGroup
	both.Go(func() { l.pipe(ToUpstream, l.caller, l.upstream) })
	both.Go(func() { l.pipe(ToCaller, l.upstream, l.caller) })
	both.Wait()
	if !l.heldBack() {
		l.close()
	}
}

// heldBack says whether a segment of the link still waits for Release.
func (l *link) heldBack() bool {
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

func (l *link) close() {
	l.once.Do(func() {
		l.caller.Close()
		l.upstream.Close()
		l.proxy.forget(l)
	})
}

func (l *link) pipe(d Direction, from, to net.Conn) {
	p := &pipe{link: l, direction: d, from: from, to: to, queue: make(chan segment, pipeSegments)}
	go p.read()
	p.write()
}

// segment is what one read gave.
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

	mu     sync.Mutex // serializes writes
	passed int64      // bytes written
}

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

func (p *pipe) write() {
	lost := false
	ended := false
	for s := range p.queue {
		pause.Until(s.due)
		ended = len(s.data) == 0
		lost = p.link.proxy.lose(p.direction, lost, len(s.data))
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
	cut := false
	if limit := p.link.proxy.Fault(p.direction).TruncateAfter; limit > 0 && p.passed+int64(len(data)) >= limit {
		data = data[:max(0, limit-p.passed)]
		cut = true
	}
	n, err := p.to.Write(data)
	p.passed += int64(n)
	if cut || err != nil {
		p.link.close()
	}
}
