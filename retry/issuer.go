package retry

import "time"

// Deposit is what a host adds to a question about a service, for the Bucket of
// whoever answers. The host sends it again only if it is proved that nobody has
// taken it: no token is ever in two Buckets.
type Deposit struct {
	// Earned is what the request itself earned.
	Earned Tokens `cbor:"1,keyasint,omitempty"`
	// Accrued is the host's part of the fixed second attempts over the time Over.
	Accrued Tokens        `cbor:"2,keyasint,omitempty"`
	Over    time.Duration `cbor:"3,keyasint,omitempty"`
}

// Issuer issues the tokens of one host. The hosts of a fleet keep the Bound
// together without knowing of each other's second attempts: each issues tokens
// for its own requests, and its equal part of the fixed ones. Tokens expire, and
// none are issued for the time before an Issuer was made, so that hosts that are
// restarted issue no more than others. It is not safe for concurrent use.
type Issuer struct {
	bound Bound
	// joined is when this host began to share the fixed second attempts; zero
	// while it does not.
	joined   time.Time
	services map[string]issued
}

// issued is when the fixed second attempts of a service were last issued, and
// by how many hosts they were shared then.
type issued struct {
	at    time.Time
	hosts int
}

// NewIssuer returns an Issuer that has issued nothing.
func NewIssuer(b Bound) *Issuer {
	return &Issuer{bound: b, services: make(map[string]issued)}
}

// Issue returns what goes with a question about a service; request says that it
// is the first for its request. Hosts is the number of hosts that share the fixed
// second attempts, 0 if this one does not.
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
	d.Over = min(now.Sub(last.at), i.bound.Life())
	d.Accrued = i.bound.perTime(d.Over) / Tokens(max(hosts, last.hosts))
	i.services[service] = issued{now, hosts}
	return d
}

// Due says whether the fixed tokens of a service were not issued for a time.
func (i *Issuer) Due(now time.Time, service string, after time.Duration) bool {
	return now.Sub(i.services[service].at) >= after
}
