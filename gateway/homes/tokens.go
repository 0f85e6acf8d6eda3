package homes

import (
	"sync"
	"time"

	"filbertmill.example/gateway/balance"
	"filbertmill.example/retry"
)

// Fleet knows how many hosts share the fixed second attempts.
type Fleet interface {
	// Sharers returns their number, 0 while this host is not one of them.
	Sharers(now time.Time) int
}

// tokens issues the retry tokens of this host.
type tokens struct {
	fleet Fleet

	mu     sync.Mutex
	issuer *retry.Issuer
}

// deposit returns what goes with the first question about an attempt.
func (t *tokens) deposit(a balance.Attempt) retry.Deposit {
	now := time.Now()
	hosts := t.fleet.Sharers(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.issuer.Issue(now, a.Service, a.Repeat == balance.First, hosts)
}
