package exchange

import (
	"context"
	"sync"
	"time"
)

// busyInterval is the longest time between two exchanges with an address at
// which the next one is likely to begin before this one has ended.
const busyInterval = time.Second

// spares opens connections ahead of need, so that the time to open one is not
// added to a request. Two kinds of addresses need them: those whose answers do
// not name their attempt, where each exchange takes a connection of its own and
// a late or doubled answer can reach nobody else; and busy ones, when the last
// connection that can be used again has been taken.
type spares struct {
	shelf *shelf

	mu      sync.Mutex
	dialing map[string]int
}

// newSpares returns no spares.
func newSpares() *spares {
	return &spares{shelf: newShelf(), dialing: make(map[string]int)}
}

// reserve reports whether another spare is to be opened, and counts it.
func (s *spares) reserve(addr string, want int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dialing[addr]+s.shelf.size(addr) >= want {
		return false
	}
	s.dialing[addr]++
	return true
}

// settle ends what reserve began.
func (s *spares) settle(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing[addr]--
	if s.dialing[addr] == 0 {
		delete(s.dialing, addr)
	}
}

// anticipate opens a spare if cn was the last idle connection to a busy address.
func (c *Client) anticipate(call Call, cn *conn) {
	if c.idle.size(call.Address) > 0 || time.Since(cn.parked) > busyInterval {
		return
	}
	c.replenish(call.Address, call.Spares)
}

// replenish opens spares in the background until want are held.
func (c *Client) replenish(addr string, want int) {
	for c.spares.reserve(addr, want) {
		go c.openSpare(addr, want)
	}
}

// openSpare opens one connection and puts it with the spares.
func (c *Client) openSpare(addr string, want int) {
	defer c.spares.settle(addr)
	cn, f := c.dial(context.Background(), addr)
	if f != nil {
		return
	}
	if !c.spares.shelf.put(cn, want, func(cn *conn) { cn.park(c.opts.SpareTimeout) }) {
		cn.abort()
	}
}
