package homes

import (
	"sync"
	"time"

	"filbertmill.example/gateway/balance"
	"filbertmill.example/retry"
)

// Fleet knows how many hosts share the fixed second attempts.
type Fleet interface {
	// LimitShares returns their number, 0 while this host is not one of them.
	LimitShares(now time.Time) int
}

// tokens issues the retry tokens of this host.
type tokens struct {
	fleet Fleet

	mu     sync.Mutex
	issuer *retry.Issuer
}

// allotment holds the tokens that go with the questions about one attempt: to the
// first home that may take them, and to no other, since they may have arrived.
type allotment struct {
	deposit retry.Deposit
	sent    bool
}

// addTo completes a question to a Loop whose clock is known, or 0 if it is not.
func (o *allotment) addTo(a *balance.Attempt, clock time.Duration) {
	a.SentAt, a.Deposit = clock, retry.Deposit{}
	if clock > 0 && !o.sent {
		a.Deposit, o.sent = o.deposit, true
	}
}

// refused says, by the clock in the answer to a question, whether the home has
// taken no tokens from it: its clock was not known, or that of an earlier run.
func (o *allotment) refused(a balance.Attempt, clock time.Duration) bool {
	return !o.sent || (a.Deposit != retry.Deposit{} && clock < a.SentAt)
}

// parcel is a Deposit that goes to a home by itself.
type parcel struct {
	Service string        `cbor:"1,keyasint"`
	Deposit retry.Deposit `cbor:"2,keyasint"`
	// SentAt is as in balance.Attempt.
	SentAt time.Duration `cbor:"3,keyasint"`
}

// due says whether the fixed tokens of a service have accrued for a time.
func (t *tokens) due(service string, after time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.issuer.Due(time.Now(), service, after)
}

// issue returns the tokens for an attempt.
func (t *tokens) issue(service string, request bool) retry.Deposit {
	now := time.Now()
	hosts := t.fleet.LimitShares(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.issuer.Issue(now, service, request, hosts)
}
