package homes

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/limits"
	"filbertmill.example/retry"
)

// nodeLimits is what this node knows of the statements of targets, by service. It is safe
// for concurrent use.
type nodeLimits struct {
	log hclog.Logger

	mu     sync.Mutex
	tables map[string]*limits.Table
}

func newNodeLimits(log hclog.Logger) *nodeLimits {
	return &nodeLimits{log: log, tables: make(map[string]*limits.Table)}
}

// table returns the Table of a service, which it creates on first use. The caller holds
// the mutex.
func (l *nodeLimits) table(service string) *limits.Table {
	t := l.tables[service]
	if t == nil {
		t = limits.NewTable()
		l.tables[service] = t
	}
	return t
}

// digest returns the digest of the limits of a service.
func (l *nodeLimits) digest(service string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table(service).Digest()
}

// known returns the limits of a service with their list.
func (l *nodeLimits) known(service string) balance.KnownLimits {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(service)
	return balance.KnownLimits{Digest: t.Digest(), List: t.List(time.Now())}
}

// merge records what a home knows.
func (l *nodeLimits) merge(service string, list []limits.Entry, home string) {
	if len(list) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// The home has merged what this node knows, so that its list is the later one.
	for _, c := range l.table(service).Merge(time.Now(), list, 0) {
		l.logChange(c, service, "home "+home)
	}
}

// hear records what a target stated in the answer to a request sent at a time. It
// reports whether that is or was anything.
func (l *nodeLimits) hear(service, target string, sent time.Time, s limits.Statement, request string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(service)
	before, _ := t.Get(target)
	if c, changed := t.Hear(time.Now(), target, sent, s); changed {
		l.logChange(c, service, "request "+request)
	}
	return s != limits.Statement{} || before.Limited
}

func (l *nodeLimits) logChange(c limits.Change, service, source string) {
	l.log.Info("this node knows what a target accepts", append(c.Fields(), "service", service, "source", source)...)
}

// get returns what a target states, and when that was last heard.
func (l *nodeLimits) get(service, target string) (limits.Statement, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table(service).Get(target)
}

// inForce reports whether a target of the service limits its rate or leaves.
func (l *nodeLimits) inForce(service string) bool { return l.digest(service) != 0 }

// issue issues this node's permits for all limits of a service.
func (l *nodeLimits) issue(service string, issuer *tokenIssuer) []balance.Permits {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []balance.Permits
	for target, rate := range l.table(service).Limits() {
		list = append(list, balance.Permits{Target: target, Rate: rate, Deposit: issuer.issuePermits(target, rate)})
	}
	return list
}

// prune forgets limits that no longer matter; listed reports whether a target of a
// service is listed.
func (l *nodeLimits) prune(now time.Time, listed func(service, target string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, t := range l.tables {
		t.Prune(now, func(target string) bool { return listed(service, target) })
	}
}

// Accepts reports whether a target still accepts the request for which it was granted,
// by what it states: it does not leave, the permit is not too old, and without a permit
// it has stated no limit that the home could not know of.
func (c *Client) Accepts(service string, d Decision) bool {
	stated, heard := c.limits.get(service, d.Target)
	switch {
	case stated.Leaving:
		return false
	case d.Permit:
		return time.Since(d.grantedAfter) <= retry.PermitDeliveryTime
	}
	return !stated.Limited || !heard.After(d.submitted)
}

// Hear records what a target stated in the answer to a request that was sent at a time.
// It reports whether the home has to be told.
func (c *Client) Hear(a balance.Attempt, d Decision, sent time.Time, s limits.Statement) bool {
	return c.limits.hear(a.Service, d.Target, sent, s, a.Request) || d.Permit
}

// withLists submits an attempt by acquire, together with what this node knows of the limits
// of targets and of the requests that crash them, and records what the home knows. A home
// that knows others decides once it has the lists of them.
func (c *Client) withLists(a balance.Attempt, acquire func(balance.Attempt) (Decision, error)) (Decision, error) {
	a.Limits = balance.KnownLimits{Digest: c.limits.digest(a.Service)}
	a.Quarantine = c.quarantine.known(false)
	submitted := time.Now()
	decision, err := acquire(a)
	if err == nil && decision.NeedsLists {
		a.Limits, a.Quarantine = c.limits.known(a.Service), c.quarantine.known(true)
		submitted = time.Now()
		decision, err = acquire(a)
	}
	if err == nil {
		c.limits.merge(a.Service, decision.Limits, decision.Home)
		c.quarantine.merge(decision.Quarantine, decision.Home)
	}
	decision.submitted = submitted
	return decision, err
}
