package exchange

import (
	"context"
	"sync"
	"time"
)

// busyInterval is the longest interval between two exchanges with an address at
// which the address counts as busy: the next exchange is then likely to begin
// before the current one has ended.
const busyInterval = time.Second

// spares holds the spare connections: those opened ahead of need, so that the time
// to open one is not added to a request. Two kinds of addresses need them. At
// addresses whose answers do not echo the attempt, each exchange uses a connection
// of its own, so that a late or duplicated answer cannot reach another request. At
// busy addresses one is opened when the last idle connection has been taken.
type spares struct {
	pool *connPool

	mu sync.Mutex
	// dialing holds the connections that are being opened, by address.
	dialing map[string]*dials
}

// dials are the spare connections to one address that are being opened.
type dials struct {
	count int
	// losses is how often discard was called since the first of them began.
	losses int
}

// newSpares returns spares without any connection.
func newSpares() *spares {
	return &spares{pool: newConnPool(), dialing: make(map[string]*dials)}
}

// beginDial reports whether another spare connection to the address is needed to
// hold want of them. If so, it counts the connection as being opened until
// endDial is called.
func (s *spares) beginDial(addr string, want int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dialing[addr]
	if d == nil {
		d = &dials{}
	}
	if d.count+s.pool.size(addr) >= want {
		return false
	}
	d.count++
	s.dialing[addr] = d
	return true
}

// endDial records that the opening of a connection has ended, with or without
// success.
func (s *spares) endDial(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.dialing[addr]
	d.count--
	if d.count == 0 {
		delete(s.dialing, addr)
	}
}

// losses returns a number that discard changes while a connection to the address is
// being opened.
func (s *spares) losses(addr string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dialing[addr].losses
}

// discard closes the spare connections to an address, also those that are being opened.
func (s *spares) discard(addr string) {
	s.mu.Lock()
	if d := s.dialing[addr]; d != nil {
		d.losses++
	}
	s.mu.Unlock()
	for cn := s.pool.take(addr); cn != nil; cn = s.pool.take(addr) {
		cn.stopIdleWatch()
		cn.abort()
	}
}

// openSpareIfBusy opens spare connections in the background if cn was the last
// idle connection to a busy address.
func (c *Client) openSpareIfBusy(call Call, cn *conn) {
	if c.idle.size(call.Address) > 0 || time.Since(cn.idleSince) > busyInterval {
		return
	}
	c.replenish(call.Address, call.SpareConnections)
}

// replenish opens spare connections to the address in the background until want
// of them are held.
func (c *Client) replenish(addr string, want int) {
	for c.spares.beginDial(addr, want) {
		go c.openSpare(addr, want)
	}
}

// openSpare opens one spare connection. An error is ignored: the next exchange
// then opens a connection itself.
func (c *Client) openSpare(addr string, want int) {
	defer c.spares.endDial(addr)
	losses := c.spares.losses(addr)
	cn, f := c.dial(context.Background(), addr)
	if f != nil {
		return
	}
	if !c.spares.pool.put(cn, want, func(cn *conn) { cn.startIdleWatch(c.opts.SpareTimeout) }) {
		cn.abort()
		return
	}
	if c.spares.losses(addr) != losses && c.spares.pool.remove(cn) {
		cn.stopIdleWatch()
		cn.abort()
	}
}

// discardSpares closes the spare connections to an address whose process may have ended.
// A connection that was opened as the process ended may look open until a request is
// written to it.
func (c *Client) discardSpares(addr string, f *Failure) {
	if f.endOfProcess() {
		c.spares.discard(addr)
	}
}
