package load

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	// idleTimeout is how long a caller keeps an idle connection. It is well below
	// the drain delay of a node.
	idleTimeout = time.Second
	// dialTimeout is the timeout of one connection attempt.
	dialTimeout = 3 * time.Second
)

// conn is a caller's connection to an entry.
type conn struct {
	net.Conn
	in        *bufio.Reader
	idleSince time.Time
}

// conns is a pool of idle connections by address. It never sends a request again by
// itself.
type conns struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

func newConns() *conns {
	return &conns{idle: make(map[string][]*conn)}
}

// get returns the most recently used idle connection to an address, or a new one.
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

// take removes and returns the most recently used idle connection, or returns nil.
func (p *conns) take(entry string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[entry]; len(list) > 0; list = p.idle[entry] {
		c := list[len(list)-1]
		p.idle[entry] = list[:len(list)-1]
		if time.Since(c.idleSince) < idleTimeout {
			return c
		}
		c.Close()
	}
	return nil
}

// put adds a connection whose exchange ended cleanly to the pool.
func (p *conns) put(entry string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.idle[entry] = append(p.idle[entry], c)
}

// close closes all idle connections.
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
