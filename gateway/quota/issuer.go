package quota

import (
	"math"
	"time"
)

const (
	// depositInterval is how often a host deposits its share.
	depositInterval = 250 * time.Millisecond
	// maxPeriod limits the time for which a host's share is issued at once. What is older
	// is lost, as after a pause of the process.
	maxPeriod = 400 * time.Millisecond
)

// issuer issues the share of this host. No time is issued twice for a workspace: it is
// either deposited with a home or spent by the node itself. An issuer is not safe for
// concurrent use.
type issuer struct {
	// issued is the end of the time that was last deposited; it is zero while this host
	// has no share. hosts is the number of shares then.
	issued time.Time
	hosts  float64
	// spent holds, by workspace, until when the node has spent its share itself.
	spent map[string]time.Time
}

// deposit returns the share for the time since the last deposit, and how much of it the
// node has spent itself, by workspace. hosts is the number of equal shares of the fleet's time,
// or 0 if this host has none.
func (i *issuer) deposit(now time.Time, hosts float64) (share time.Duration, spent map[string]time.Duration) {
	period, shares := i.since(now, hosts, time.Time{})
	if shares > 0 && len(i.spent) > 0 && len(i.spent) <= maxSpent {
		spent = make(map[string]time.Duration, len(i.spent))
		for workspace, until := range i.spent {
			spent[workspace] = time.Duration(max(until.Sub(now.Add(-period)), 0).Seconds() / shares * float64(time.Second))
		}
	}
	lost := len(i.spent) > maxSpent
	i.issued, i.hosts, i.spent = now, hosts, nil
	if hosts == 0 {
		i.issued = time.Time{}
	}
	if shares == 0 || lost {
		return 0, nil
	}
	return time.Duration(float64(period) / shares), spent
}

// spend decides by this host's share alone whether a request of a workspace is admitted,
// for which the fleet issues tokens at the given rate. draw is a random number from 0 to
// 1: a fraction of a token admits with that probability, so that the fractions of many
// hosts add up.
func (i *issuer) spend(now time.Time, hosts float64, workspace string, perSecond, draw float64) bool {
	spent := i.spent[workspace]
	period, shares := i.since(now, hosts, spent)
	if shares == 0 {
		return false
	}
	tokens := perSecond * period.Seconds() / shares
	if i.spent == nil {
		i.spent = make(map[string]time.Time)
	}
	if tokens < 1 {
		i.spent[workspace] = now
		return draw < tokens
	}
	// The time that makes up the tokens that are left.
	left := (tokens - 1) / perSecond * shares
	i.spent[workspace] = now.Add(-time.Duration(math.Floor(left * float64(time.Second))))
	return true
}

// since returns the time that is not issued yet, and the number of shares that it is
// divided into.
func (i *issuer) since(now time.Time, hosts float64, spent time.Time) (period time.Duration, shares float64) {
	if hosts == 0 {
		return 0, 0
	}
	if i.issued.IsZero() {
		i.issued, i.hosts = now, hosts
	}
	from := i.issued
	if spent.After(from) {
		from = spent
	}
	return min(now.Sub(from), maxPeriod), max(hosts, i.hosts)
}
