package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Entry is one place that takes requests.
type Entry struct {
	// Address is where callers connect.
	Address string
	// ReadyURL answers 2xx while the entry takes work; empty means always.
	ReadyURL string
}

// Balancer stands in for the platform's balancer: it picks at random among the
// entries that were ready when last asked.
type Balancer struct {
	mu    sync.Mutex
	rng   *rand.Rand
	ready []string
}

// readyTimeout bounds one question for readiness.
const readyTimeout = time.Second

// NewBalancer returns a balancer that asks each entry at the given interval,
// until the context ends. Entries count as ready from the start.
func NewBalancer(ctx context.Context, seed uint64, every time.Duration, entries ...Entry) *Balancer {
	b := &Balancer{rng: rand.New(rand.NewPCG(seed, 0))}
	for _, e := range entries {
		b.ready = append(b.ready, e.Address)
		if e.ReadyURL != "" {
			go b.watch(ctx, e, every)
		}
	}
	return b
}

// Fixed returns a balancer over addresses that are always ready.
func Fixed(seed uint64, addresses ...string) *Balancer {
	return &Balancer{rng: rand.New(rand.NewPCG(seed, 0)), ready: addresses}
}

// Pick returns a ready address, if possible not one of those tried.
func (b *Balancer) Pick(tried []string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := make([]string, 0, len(b.ready))
	for _, a := range b.ready {
		if !slices.Contains(tried, a) {
			fresh = append(fresh, a)
		}
	}
	switch {
	case len(fresh) > 0:
		return fresh[b.rng.IntN(len(fresh))]
	case len(b.ready) > 0:
		return b.ready[b.rng.IntN(len(b.ready))]
	}
	return ""
}

func (b *Balancer) watch(ctx context.Context, e Entry, every time.Duration) {
	client := &http.Client{Timeout: readyTimeout}
	for {
		b.set(e.Address, isReady(ctx, client, e.ReadyURL))
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
	}
}

func isReady(ctx context.Context, client *http.Client, u string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (b *Balancer) set(address string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.ready, address)
	switch {
	case ready && i < 0:
		b.ready = append(b.ready, address)
	case !ready && i >= 0:
		b.ready = slices.Delete(b.ready, i, i+1)
	}
}
