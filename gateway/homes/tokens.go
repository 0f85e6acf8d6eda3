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

// allotment is what goes with the questions about one attempt: tokens with the
// first that may carry them, and with no other, since they may have arrived.
type allotment struct {
	tokens *tokens
	sent   bool
}

// addTo completes a question to a Loop whose clock is known, or 0 if it is not.
func (o *allotment) addTo(a *balance.Attempt, clock time.Duration) {
	a.SentAt, a.Deposit = clock, retry.Deposit{}
	if clock > 0 && !o.sent {
		o.sent = true
		a.Deposit = o.tokens.issue(a.Service, a.Repeat == balance.First)
	}
}

func (t *tokens) issue(service string, request bool) retry.Deposit {
	now := time.Now()
	hosts := t.fleet.Sharers(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.issuer.Issue(now, service, request, hosts)
}
