package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/retry"
)

var bound = retry.Bound{Window: 10 * time.Second, Ratio: 0.2, Extra: 50}

// deposit returns an amount of earned tokens.
func deposit(tokens int) retry.Deposit {
	return retry.Deposit{Earned: retry.Tokens(tokens) * retry.Token}
}

// takeAll takes all tokens that a Bucket has.
func takeAll(b *retry.Bucket, now time.Time) int {
	n := 0
	for b.Take(now) {
		n++
	}
	return n
}

func TestTokensAreTakenOnceAndExpire(t *testing.T) {
	c := qt.New(t)
	b := retry.NewBucket(2 * time.Second)
	b.Add(start, deposit(3), 0)
	c.Check(b.Left(start), qt.Equals, 3)
	c.Check(b.Take(start), qt.IsTrue)
	c.Check(takeAll(b, start.Add(1800*time.Millisecond)), qt.Equals, 2)
	b.Add(start.Add(2*time.Second), deposit(2), 0)
	c.Check(takeAll(b, start.Add(4*time.Second)), qt.Equals, 0)
}

func TestOldestTokensAreTakenFirst(t *testing.T) {
	c := qt.New(t)
	b := retry.NewBucket(2 * time.Second)
	b.Add(start, deposit(1), 0)
	b.Add(start.Add(time.Second), deposit(1), 0)
	c.Check(b.Take(start.Add(time.Second)), qt.IsTrue)
	c.Check(b.Left(start.Add(2500*time.Millisecond)), qt.Equals, 1)
}

func TestAccruedTokensExpireByTheTimeOfAccrual(t *testing.T) {
	c := qt.New(t)
	b := retry.NewBucket(2 * time.Second)
	b.Add(start, retry.Deposit{Accrued: 20 * retry.Token, Period: 2 * time.Second}, 0)
	c.Check(b.Left(start) >= 18 && b.Left(start) <= 20, qt.IsTrue, qt.Commentf("%d", b.Left(start)))
	half := b.Left(start.Add(time.Second))
	c.Check(half >= 8 && half <= 10, qt.IsTrue, qt.Commentf("%d", half))
}

// TestTokensOfRandomTimesNeverOutliveTheirLife compares a Bucket with a list of
// tokens at random times. A token expires with the oldest of its interval.
func TestTokensOfRandomTimesNeverOutliveTheirLife(t *testing.T) {
	const life = time.Second
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		b := retry.NewBucket(life)
		var held []time.Time
		origin := start.Add(time.Duration(rng.Int64N(int64(time.Second))))
		now := origin
		b.Add(origin, retry.Deposit{}, 0)
		for range 500 {
			now = now.Add(time.Duration(rng.Int64N(1 + rng.Int64N(int64(life)))))
			for len(held) > 0 && now.Sub(held[0]) >= life {
				held = held[1:]
			}
			for range rng.IntN(3) {
				b.Add(now, deposit(1), 0)
				held = append(held, origin.Add(now.Sub(origin).Truncate(life/20)))
			}
			qt.Assert(t, b.Left(now), qt.Equals, len(held), qt.Commentf("seed %d", seed))
			for range rng.IntN(3) {
				if took := b.Take(now); took {
					held = held[1:]
				} else {
					qt.Assert(t, held, qt.HasLen, 0, qt.Commentf("seed %d", seed))
				}
			}
		}
	}
}

// TestHostsTogetherIssueNoMoreThanTheBound guards against hosts that together
// issue more than Bound.Extra because some of them restart, or because they issue
// tokens at different times.
func TestHostsTogetherIssueNoMoreThanTheBound(t *testing.T) {
	const hosts = 10
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		issuers := make([]*retry.Issuer, hosts)
		for i := range issuers {
			issuers[i] = retry.NewIssuer(bound)
		}
		var sum retry.Tokens
		for now := start; now.Before(start.Add(bound.Window + bound.Life())); now = now.Add(50 * time.Millisecond) {
			i := rng.IntN(hosts)
			switch rng.IntN(8) {
			case 0:
				issuers[i] = retry.NewIssuer(bound)
			default:
				sum += issuers[i].Issue(now, "s", false, hosts).Accrued
			}
		}
		qt.Check(t, float64(sum) <= bound.Extra*float64(retry.Token), qt.IsTrue, qt.Commentf("seed %d: %d", seed, sum))
	}
}

// TestHostIssuesItsPartOnce guards against tokens that are issued twice for the
// same time, and against a part that is too large because the number of hosts
// changed since the host last issued tokens.
func TestHostIssuesItsPartOnce(t *testing.T) {
	c := qt.New(t)
	i := retry.NewIssuer(bound)
	c.Check(i.Issue(start, "s", false, 1).Accrued, qt.Equals, retry.Tokens(0), qt.Commentf("no tokens for the time before the start"))
	one := i.Issue(start.Add(time.Second), "s", false, 1).Accrued
	c.Check(one > 0, qt.IsTrue)
	c.Check(i.Issue(start.Add(time.Second), "s", false, 1).Accrued, qt.Equals, retry.Tokens(0))
	c.Check(i.Issue(start.Add(2*time.Second), "s", false, 2).Accrued, qt.Equals, one/2)
	c.Check(i.Issue(start.Add(3*time.Second), "s", false, 1).Accrued, qt.Equals, one/2)
	c.Check(i.Issue(start.Add(4*time.Second), "s", false, 0).Accrued, qt.Equals, retry.Tokens(0))
	c.Check(i.Issue(start.Add(9*time.Second), "s", false, 1).Accrued, qt.Equals, retry.Tokens(0), qt.Commentf("no tokens for the time in which the host had no part"))
}

func TestRequestEarnsOnceWithoutAnyHostKnown(t *testing.T) {
	c := qt.New(t)
	i := retry.NewIssuer(bound)
	earned := i.Issue(start, "s", true, 0).Earned
	c.Check(earned > 0 && float64(earned) <= bound.Ratio*float64(retry.Token), qt.IsTrue)
	c.Check(i.Issue(start, "s", false, 0).Earned, qt.Equals, retry.Tokens(0))
	none := retry.NewIssuer(retry.Bound{})
	c.Check(none.Issue(start, "s", true, 3), qt.Equals, retry.Deposit{})
}
