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
	// dialing counts the connections that are being opened, by address.
	dialing map[string]int
}

// newSpares returns spares without any connection.
func newSpares() *spares {
	return &spares{pool: newConnPool(), dialing: make(map[string]int)}
}

// beginDial reports whether another spare connection to the address is needed to
// hold want of them. If so, it counts the connection as being opened until
// endDial is called.
func (s *spares) beginDial(addr string, want int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dialing[addr]+s.pool.size(addr) >= want {
		return false
	}
	s.dialing[addr]++
	return true
}

// endDial records that the opening of a connection has ended, with or without
// success.
func (s *spares) endDial(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing[addr]--
	if s.dialing[addr] == 0 {
		delete(s.dialing, addr)
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
	cn, f := c.dial(context.Background(), addr)
	if f != nil {
		return
	}
	if !c.spares.pool.put(cn, want, func(cn *conn) { cn.startIdleWatch(c.opts.SpareTimeout) }) {
		cn.abort()
	}
}
