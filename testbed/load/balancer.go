package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Entry is an endpoint that callers may send requests to.
type Entry struct {
	// Address is where callers connect.
	Address string
	// ReadyURL answers 2xx while the entry accepts requests; if empty, the entry is
	// always ready.
	ReadyURL string
}

// Balancer stands in for the platform's load balancer. It picks at random among the
// entries that were ready at their last check.
type Balancer struct {
	mu    sync.Mutex
	rng   *rand.Rand
	ready []string
}

// readyTimeout is the timeout of one readiness check.
const readyTimeout = time.Second

// NewBalancer returns a balancer that checks the readiness of each entry at the given
// interval, until the context ends. Until its first check an entry counts as ready.
func NewBalancer(ctx context.Context, seed uint64, interval time.Duration, entries ...Entry) *Balancer {
	b := &Balancer{rng: rand.New(rand.NewPCG(seed, 0))}
	for _, e := range entries {
		b.ready = append(b.ready, e.Address)
		if e.ReadyURL != "" {
			go b.watch(ctx, e, interval)
		}
	}
	return b
}

// Fixed returns a balancer over addresses that are always ready.
func Fixed(seed uint64, addresses ...string) *Balancer {
	return &Balancer{rng: rand.New(rand.NewPCG(seed, 0)), ready: addresses}
}

// Pick returns a random ready address, if possible none of those tried, or "" if no
// address is ready.
func (b *Balancer) Pick(tried []string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	untried := make([]string, 0, len(b.ready))
	for _, a := range b.ready {
		if !slices.Contains(tried, a) {
			untried = append(untried, a)
		}
	}
	switch {
	case len(untried) > 0:
		return untried[b.rng.IntN(len(untried))]
	case len(b.ready) > 0:
		return b.ready[b.rng.IntN(len(b.ready))]
	}
	return ""
}

// watch checks the readiness of an entry until the context ends.
func (b *Balancer) watch(ctx context.Context, e Entry, interval time.Duration) {
	client := &http.Client{Timeout: readyTimeout}
	for {
		b.set(e.Address, isReady(ctx, client, e.ReadyURL))
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

func isReady(ctx context.Context, client *http.Client, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
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

// set records whether the entry with the address is ready.
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
