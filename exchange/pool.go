package exchange

import "sync"

// connPool holds connections that no exchange uses, by address.
type connPool struct {
	mu    sync.Mutex
	conns map[string][]*conn
}

// newConnPool returns an empty connPool.
func newConnPool() *connPool {
	return &connPool{conns: make(map[string][]*conn)}
}

// put adds a connection and starts its idle watch. It returns false if the pool
// already holds maxConns connections to the address.
func (p *connPool) put(cn *conn, maxConns int, startWatch func(*conn)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns[cn.addr]) >= maxConns {
		return false
	}
	cn.pool = p
	startWatch(cn)
	p.conns[cn.addr] = append(p.conns[cn.addr], cn)
	return true
}

// take removes and returns the connection to the address that was added last, or
// returns nil if there is none.
func (p *connPool) take(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.conns[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	p.conns[addr] = list[:len(list)-1]
	return cn
}

// remove removes the given connection and reports whether the pool held it.
func (p *connPool) remove(cn *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.conns[cn.addr]
	for i, other := range list {
		if other != cn {
			continue
		}
		list = append(list[:i], list[i+1:]...)
		if len(list) == 0 {
			delete(p.conns, cn.addr)
			return true
		}
		p.conns[cn.addr] = list
		return true
	}
	return false
}

// takeAll removes and returns all connections.
func (p *connPool) takeAll() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*conn
	for _, list := range p.conns {
		all = append(all, list...)
	}
	p.conns = make(map[string][]*conn)
	return all
}

// size returns the number of connections to the address that the pool holds.
func (p *connPool) size(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns[addr])
}
