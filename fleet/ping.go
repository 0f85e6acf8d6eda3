package fleet

import (
	"context"
	"sync"
	"time"
)

const (
	pingTimeout = 400 * time.Millisecond
	// pingFreshness is how long the result of a ping is returned to further
	// callers.
	pingFreshness = 200 * time.Millisecond
)

// pinger runs at most one ping for each member at a time and shares its result
// among the callers.
type pinger struct {
	mu    sync.Mutex
	pings map[string]*ping
}

// ping is one ping of a member. ended and err are set before done is closed.
type ping struct {
	done  chan struct{}
	ended time.Time
	err   error
}

// Ping sends a message to a member and returns an error if the member does not
// answer within pingTimeout. Concurrent callers for the same member share one
// message, which is sent even if the context of one caller ends.
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

// start returns the ping of the name if one is in flight or has recently ended,
// and starts one otherwise.
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
