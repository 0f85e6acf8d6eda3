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
	joined time.Time
	// issued is keyed by service, and by target with permitKey.
	issued map[string]issued
}

// issued records when accruing tokens were last issued, and how many hosts shared them
// then.
type issued struct {
	at    time.Time
	hosts int
}

// NewIssuer returns an Issuer that has issued nothing.
func NewIssuer(b Bound) *Issuer {
	return &Issuer{bound: b, issued: make(map[string]issued)}
}

// Issue returns the tokens to send with a message about a service. Request is set
// if the message is the first one for a request, which earns tokens. Hosts is
// the number of hosts that share the fixed second attempts, or 0 if this host
// does not share them.
func (i *Issuer) Issue(now time.Time, service string, request bool, hosts int) Deposit {
	d := i.accrue(now, service, hosts, i.bound.Life(), i.bound.accruedOver)
	if request {
		d.Earned = i.bound.perRequest()
	}
	return d
}

// accrue issues this host's part of the tokens that have accrued since the last call
// with this key, at most over the lifetime of a token. accruedOver returns the tokens
// that accrue for the whole fleet.
func (i *Issuer) accrue(now time.Time, key string, hosts int, life time.Duration, accruedOver func(time.Duration) Tokens) Deposit {
	if hosts == 0 {
		i.joined = time.Time{}
		clear(i.issued)
		return Deposit{}
	}
	if i.joined.IsZero() {
		i.joined = now
	}
	last, ok := i.issued[key]
	if !ok {
		last = issued{i.joined, hosts}
	}
	period := min(now.Sub(last.at), life)
	i.issued[key] = issued{now, hosts}
	return Deposit{Accrued: accruedOver(period) / Tokens(max(hosts, last.hosts)), Period: period}
}

// Due reports whether tokens for the fixed second attempts of a service were last
// issued at least the given time ago.
func (i *Issuer) Due(now time.Time, service string, after time.Duration) bool {
	return now.Sub(i.issued[service].at) >= after
}
