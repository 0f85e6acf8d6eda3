package load

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	// idleLimit is how long a caller keeps an idle connection, well under a
	// node's drain delay.
	idleLimit = time.Second
	// dialTimeout bounds a connection attempt.
	dialTimeout = 3 * time.Second
)

// conn is a caller's connection to an entry.
type conn struct {
	net.Conn
	in   *bufio.Reader
	idle time.Time
}

// conns keeps idle connections. Nothing is ever sent twice on its own account.
type conns struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

func newConns() *conns {
	return &conns{idle: make(map[string][]*conn)}
}

// get returns the connection used last, or a new one.
func (p *conns) get(entry string) (*conn, error) {
	if c := p.take(entry); c != nil {
		return c, nil
	}
	nc, err := net.DialTimeout("tcp", entry, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, in: bufio.NewReader(nc)}, nil
}

func (p *conns) take(entry string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[entry]; len(list) > 0; list = p.idle[entry] {
		c := list[len(list)-1]
		p.idle[entry] = list[:len(list)-1]
		if time.Since(c.idle) < idleLimit {
			return c
		}
		c.Close()
	}
	return nil
}

// put keeps a connection whose exchange ended cleanly.
func (p *conns) put(entry string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idle = time.Now()
	p.idle[entry] = append(p.idle[entry], c)
}

func (p *conns) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = make(map[string][]*conn)
}
