package exchange

import "sync"

// shelf holds connections that no exchange is using, by address.
type shelf struct {
	mu    sync.Mutex
	conns map[string][]*conn
}

// newShelf returns an empty shelf.
func newShelf() *shelf {
	return &shelf{conns: make(map[string][]*conn)}
}

// put adds a connection and starts its watch; it reports false if the shelf
// has no place left for the address.
func (s *shelf) put(cn *conn, places int, watch func(*conn)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns[cn.addr]) >= places {
		return false
	}
	cn.shelf = s
	watch(cn)
	s.conns[cn.addr] = append(s.conns[cn.addr], cn)
	return true
}

// take removes the most recently added connection, or returns nil.
func (s *shelf) take(addr string) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.conns[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	s.conns[addr] = list[:len(list)-1]
	return cn
}

// remove takes a certain connection out and reports whether it was there.
func (s *shelf) remove(cn *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.conns[cn.addr]
	for i, other := range list {
		if other != cn {
			continue
		}
		list = append(list[:i], list[i+1:]...)
		if len(list) == 0 {
			delete(s.conns, cn.addr)
			return true
		}
		s.conns[cn.addr] = list
		return true
	}
	return false
}

// empty takes all connections out.
func (s *shelf) empty() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*conn
	for _, list := range s.conns {
		all = append(all, list...)
	}
	s.conns = make(map[string][]*conn)
	return all
}

// size returns the number of connections held for an address.
func (s *shelf) size(addr string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns[addr])
}
