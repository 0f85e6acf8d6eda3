package fleet

import (
	"context"
	"sync"
	"time"
)

const (
	pingTimeout = 400 * time.Millisecond
	// pingFreshness is how long the end of one ping serves other callers.
	pingFreshness = 200 * time.Millisecond
)

// pinger runs at most one ping for each member at a time.
type pinger struct {
	mu    sync.Mutex
	pings map[string]*ping
}

type ping struct {
	done  chan struct{}
	ended time.Time
	err   error
}

// Ping asks a member whether it is there. Goroutines that ask about the same
// member share one message.
func (a *Agent) Ping(ctx context.Context, m Member) error {
	p := a.pinger.start(m.Name(), func() error {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pingTimeout)
		defer cancel()
		return a.cfg.Transport.Call(ctx, m.Peer, kindPing, empty{}, nil)
	})
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// start returns the running or recent ping of the name, or starts one.
func (r *pinger) start(name string, send func() error) *ping {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pings[name]; p != nil && (p.ended.IsZero() || time.Since(p.ended) < pingFreshness) {
		return p
	}
	p := &ping{done: make(chan struct{})}
	if r.pings == nil {
		r.pings = make(map[string]*ping)
	}
	r.pings[name] = p
	go func() {
		err := send()
		r.mu.Lock()
		defer r.mu.Unlock()
		p.err = err
		p.ended = time.Now()
		close(p.done)
	}()
	return p
}
