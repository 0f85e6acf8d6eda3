package exchange

import (
	"context"
	"sync"
)

// spares opens connections ahead of need, for addresses whose answers do not
// name their attempt: there each exchange takes a connection of its own, so
// that a late or doubled answer can reach nobody else, and the time to open
// one is not added to the request.
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

// replenish opens a spare in the background if fewer than want are held.
func (c *Client) replenish(addr string, want int) {
	if !c.spares.reserve(addr, want) {
		return
	}
	go func() {
		defer c.spares.settle(addr)
		cn, f := c.dial(context.Background(), addr)
		if f != nil {
			return
		}
		if !c.spares.shelf.put(cn, want, func(cn *conn) { cn.park(c.opts.SpareTimeout) }) {
			cn.abort()
		}
	}()
}
