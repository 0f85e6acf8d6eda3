package homes

import (
	"sync"
	"time"

	"filbertmill.example/gateway/balance"
	"filbertmill.example/retry"
)

// Fleet provides the number of shares into which a fleet-wide limit, such as that of the
// fixed retry tokens, is divided.
type Fleet interface {
	// LimitShares returns into how many equal shares the limit is divided, of which
	// this host has one. It returns 0 while this host has none.
	LimitShares(now time.Time) int
}

// tokenIssuer issues the retry tokens of this host. It is safe for concurrent use.
type tokenIssuer struct {
	fleet Fleet

	mu     sync.Mutex
	issuer *retry.Issuer
}

// attemptDeposit contains the tokens that are sent with one attempt. They are sent to
// the first home whose clock is known, and to no other, because they may have
// arrived at the first one.
type attemptDeposit struct {
	deposit retry.Deposit
	sent    bool
}

// attachTo sets the deposit and the sending time of an attempt. clock is the clock
// of the receiving Loop, or 0 if it is not known.
func (d *attemptDeposit) attachTo(a *balance.Attempt, clock time.Duration) {
	a.SentAt, a.Deposit = clock, retry.Deposit{}
	if clock > 0 && !d.sent {
		a.Deposit, d.sent = d.deposit, true
	}
}

// notAdded reports whether the home has certainly not added the tokens: they were
// not sent because its clock was not known, or were sent with the clock of an
// earlier run of the home. clock is the home's clock in its answer.
func (d *attemptDeposit) notAdded(a balance.Attempt, clock time.Duration) bool {
	return !d.sent || (a.Deposit != retry.Deposit{} && clock < a.SentAt)
}

// due reports whether the fixed tokens of a service have accrued for at least the
// given time.
func (t *tokenIssuer) due(service string, after time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.issuer.Due(time.Now(), service, after)
}

// issuePermits returns the permits that this host may issue now for a target.
func (t *tokenIssuer) issuePermits(target string, r retry.Rate) retry.Deposit {
	now := time.Now()
	hosts := t.fleet.LimitShares(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.issuer.IssuePermits(now, target, r, hosts)
}

// issue returns the tokens that this host may issue now for a service; request is
// set for the first attempt of a caller's request, which earns tokens.
func (t *tokenIssuer) issue(service string, request bool) retry.Deposit {
	now := time.Now()
	hosts := t.fleet.LimitShares(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.issuer.Issue(now, service, request, hosts)
}
