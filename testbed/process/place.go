package process

import "sync"

// Place is where one node runs, in one process after another. Its methods may be
// called from any goroutine.
type Place struct {
	// turn is held while the process is being replaced.
	turn sync.Mutex

	mu   sync.Mutex
	node *Node
	life int
}

// Latest returns the latest process, or nil if none was started.
func (p *Place) Latest() *Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node
}

// Starts returns the number of processes that were started.
func (p *Place) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

// Replace ends the present process, if there is one, and starts another. Calls
// that overlap take turns, so that each ends what the one before has started.
func (p *Place) Replace(end func(*Node), start func() (*Node, error)) error {
	p.turn.Lock()
	defer p.turn.Unlock()
	if n := p.Latest(); n != nil {
		end(n)
	}
	n, err := start()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node, p.life = n, p.life+1
	return nil
}

// Close ends the present process at once, also a paused one.
func (p *Place) Close() {
	if n := p.Latest(); n != nil {
		_ = n.Resume()
		n.Kill()
	}
}
