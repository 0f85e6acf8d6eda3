package balance

import (
	"slices"
	"time"

	"filbertmill.example/gateway/limits"
	"filbertmill.example/poison"
	"filbertmill.example/retry"
)

// messageTimeMax is the assumed age of a message of which the sending time is not known.
const messageTimeMax = time.Second

// Permits are the permits that a node has issued for one target.
type Permits struct {
	Target string `cbor:"1,keyasint"`
	// Rate is the limit for which they were issued.
	Rate    retry.Rate    `cbor:"2,keyasint"`
	Deposit retry.Deposit `cbor:"3,keyasint"`
}

// KnownLimits is what a node knows of the statements of the targets of a service. It is sent
// with each attempt, so that a home knows them before it grants a target: one that has
// just become the home has heard of none.
type KnownLimits struct {
	// Digest identifies the limits in force; 0 if none are known.
	Digest uint64 `cbor:"1,keyasint,omitempty"`
	// List is sent to a home that has asked for it.
	List []limits.Entry `cbor:"2,keyasint,omitempty"`
}

// mergeLimits records the limits that a node knows. It reports false if the node has to
// send them first.
func (s *service) mergeLimits(now time.Time, known KnownLimits, source string, sentAt time.Duration) bool {
	if known.Digest == s.limits.Digest() || known.Digest == 0 {
		return true
	}
	if len(known.List) == 0 {
		return false
	}
	delay := messageTimeMax
	if sentAt > 0 {
		delay = max(s.loop.clockAt(now)-sentAt, 0)
	}
	s.applyLimits(now, s.limits.Merge(now, known.List, delay), source)
	return true
}

// listLimits returns the limits for a node that knows others, and nil if it knows the
// same ones.
func (s *service) listLimits(now time.Time, digest uint64) []limits.Entry {
	if digest == s.limits.Digest() {
		return nil
	}
	return s.limits.List(now)
}

// hear records what a target stated in the answer to an attempt.
func (s *service) hear(now time.Time, o *openAttempt, r Report) {
	if r.Stated == nil || o.target == "" {
		return
	}
	if c, changed := s.limits.Hear(now, o.target, o.started, *r.Stated); changed {
		s.applyLimits(now, []limits.Change{c}, "request "+o.Request)
	}
}

// applyLimits puts changed statements into force.
func (s *service) applyLimits(now time.Time, changes []limits.Change, source string) {
	if len(changes) == 0 {
		return
	}
	s.now = now
	for _, c := range changes {
		s.loop.cfg.Log.Info("a target states what it accepts", append(c.Fields(), "service", s.name, "source", source)...)
	}
	s.sched.SetRateLimits(now, s.limits.Limits())
	if slices.ContainsFunc(changes, func(c limits.Change) bool { return c.Before.Leaving != c.After.Leaving }) {
		s.configure(now)
	}
}

// pruneLimits forgets limits that no longer matter.
func (s *service) pruneLimits(now time.Time) {
	s.limits.Prune(now, func(target string) bool {
		_, listed := s.loop.view.Target(s.name, target)
		return listed
	})
}

// addPermits adds the permits of a message.
func (s *service) addPermits(now time.Time, list []Permits, sentAt time.Duration) {
	age := s.loop.clockAt(now) - sentAt
	if sentAt <= 0 || age < 0 {
		return
	}
	s.now = now
	for _, p := range list {
		if s.sched.AddPermits(now, p.Target, p.Rate, p.Deposit, age) {
			s.loop.stats.addReceivedPermits(s.name, p.Deposit)
		}
	}
}

// Contribution holds the retry tokens and permits that a node sends to the home of a
// service outside of its attempts.
type Contribution struct {
	Service string        `cbor:"1,keyasint"`
	Deposit retry.Deposit `cbor:"2,keyasint"`
	// SentAt is the same as in Attempt.
	SentAt time.Duration `cbor:"3,keyasint"`
	// Permits are those that the node has issued since its last message.
	Permits []Permits `cbor:"4,keyasint,omitempty"`
	// LimitsDigest is that of the limits that the node knows.
	LimitsDigest uint64 `cbor:"5,keyasint,omitempty"`
}

// Told is what a Loop tells a node that contributes.
type Told struct {
	// Limits are, by service, those of which the node knows others.
	Limits map[string][]limits.Entry
	// Quarantine holds the requests that crash targets, or may do so.
	Quarantine []poison.Handover
}

// Contribute adds retry tokens and permits to services.
func (l *Loop) Contribute(list []Contribution) Told {
	return query(l, func(now time.Time) Told {
		differing := make(map[string][]limits.Entry)
		for _, m := range list {
			s := l.service(m.Service, now)
			s.takeDeposit(now, m.Deposit, m.SentAt)
			s.addPermits(now, m.Permits, m.SentAt)
			if entries := s.listLimits(now, m.LimitsDigest); len(entries) > 0 {
				differing[m.Service] = entries
			}
		}
		return Told{differing, l.quarantineAndSuspects(now)}
	})
}

// AddPermits adds permits that this node has just issued.
func (l *Loop) AddPermits(service string, list []Permits) {
	sentAt := l.Clock()
	l.enqueue(func(now time.Time) { l.service(service, now).addPermits(now, list, sentAt) })
}
