package process

import "sync"

// Place runs one node as a sequence of processes, of which at most one runs at a time:
// Replace ends one and starts the next. It is safe for concurrent use.
type Place struct {
	// replacing is held while the process is being replaced.
	replacing sync.Mutex

	mu     sync.Mutex
	node   *Node
	starts int
}

// Latest returns the latest process, or nil if none was started.
func (p *Place) Latest() *Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node
}

// Starts returns the number of processes started so far.
func (p *Place) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Replace ends the latest process, if there is one, and starts another. Concurrent
// calls run one after another, so that each ends the process that the one before has
// started.
func (p *Place) Replace(end func(*Node), start func() (*Node, error)) error {
	p.replacing.Lock()
	defer p.replacing.Unlock()
	if n := p.Latest(); n != nil {
		end(n)
	}
	n, err := start()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node, p.starts = n, p.starts+1
	return nil
}

// Close kills the latest process immediately, also a suspended one.
func (p *Place) Close() {
	if n := p.Latest(); n != nil {
		_ = n.Resume()
		n.Kill()
	}
}
