package ingress

import (
	"maps"
	"net"
	"time"

	"filbertmill.example/exchange/guard"
)

// When callers have as many connections open as the process may spare, or as there is memory
// for, each further one needs the place of another: of one whose caller has sent nothing for
// a while and waits for no answer, the longest first. If there is none, the new one is
// closed.

// makeRoom closes connections so that a new one can stay, or else the new one. It must be
// called with mu held.
func (s *Server) makeRoom(accepted net.Conn) {
	idle := guard.LongestIdle(maps.Keys(s.conns), (*conn).quiet)
	for _, c := range idle {
		c.displace()
		s.displaced.Add(1)
	}
	if len(idle) == 0 {
		s.displaced.Add(1)
		_ = accepted.Close()
	}
}

// Displaced returns the number of connections that were closed for want of room.
func (s *Server) Displaced() int64 { return s.displaced.Load() }

// quiet returns for how long the caller has sent nothing, or 0 if it waits for an answer.
func (c *conn) quiet() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unanswered) > 0 || c.waiting != nil {
		return 0
	}
	return time.Since(c.lastArrival())
}

// displace closes the connection. What its caller sends then is not served.
func (c *conn) displace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unanswered) > 0 || c.waiting != nil {
		return
	}
	c.setEnd(EndDisplaced)
	c.closing = true
	c.finished.Broadcast()
	_ = c.socket.Conn.Close()
}

// lastArrival returns when the last byte of the caller arrived.
func (c *conn) lastArrival() time.Time {
	return c.socket.opened.Add(time.Duration(c.socket.lastRead.Load()))
}
