package retry

import "time"

// Deposit is the tokens that a host sends to a home with a message about a
// service, for that home's Bucket. The host sends a Deposit again only if it is
// proved that no home has added it: no token is ever in two Buckets.
type Deposit struct {
	// Earned is what the request itself earned.
	Earned Tokens `cbor:"1,keyasint,omitempty"`
	// Accrued is the host's part of the fixed second attempts for the time Period,
	// which ends when the Deposit is issued.
	Accrued Tokens        `cbor:"2,keyasint,omitempty"`
	Period  time.Duration `cbor:"3,keyasint,omitempty"`
}

// Issuer issues the tokens of one host. The hosts of a fleet keep the Bound
// together without knowing each other's second attempts: each host issues tokens
// for its own requests, and an equal part of the tokens for the fixed second
// attempts, Bound.Extra. Tokens expire, and none are issued for the time before
// an Issuer was made, so that restarted hosts issue no more than others. It is
// not safe for concurrent use.
type Issuer struct {
	bound Bound
	// joined is when this host began to share the fixed second attempts; zero
	// while it does not.
	joined   time.Time
	services map[string]issued
}

// issued records when tokens for the fixed second attempts of a service were last
// issued, and how many hosts shared them then.
type issued struct {
	at    time.Time
	hosts int
}

// NewIssuer returns an Issuer that has issued nothing.
func NewIssuer(b Bound) *Issuer {
	return &Issuer{bound: b, services: make(map[string]issued)}
}

// Issue returns the tokens to send with a message about a service. Request is set
// if the message is the first one for a request, which earns tokens. Hosts is
// the number of hosts that share the fixed second attempts, or 0 if this host
// does not share them.
func (i *Issuer) Issue(now time.Time, service string, request bool, hosts int) Deposit {
	var d Deposit
	if request {
		d.Earned = i.bound.perRequest()
	}
	if hosts == 0 {
		i.joined = time.Time{}
		clear(i.services)
		return d
	}
	if i.joined.IsZero() {
		i.joined = now
	}
	last, ok := i.services[service]
	if !ok {
		last = issued{i.joined, hosts}
	}
	d.Period = min(now.Sub(last.at), i.bound.Life())
	d.Accrued = i.bound.accruedOver(d.Period) / Tokens(max(hosts, last.hosts))
	i.services[service] = issued{now, hosts}
	return d
}

// Due reports whether tokens for the fixed second attempts of a service were last
// issued at least the given time ago.
func (i *Issuer) Due(now time.Time, service string, after time.Duration) bool {
	return now.Sub(i.services[service].at) >= after
}
