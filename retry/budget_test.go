package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/retry"
)

var start = time.Date(2026, 7, 1, 6, 0, 0, 0, time.UTC)

// take asks for n second attempts and returns how many the budget granted.
func take(b *retry.Budget, now time.Time, queued bool, n int) int {
	granted := 0
	for range n {
		if b.Take(now, queued) {
			granted++
		}
	}
	return granted
}

func TestBudget(t *testing.T) {
	for _, test := range []struct {
		desc     string
		cfg      retry.Config
		requests int
		wait     time.Duration
		queued   bool
		want     int
	}{
		{"a quiet service has the minimum", retry.Config{Share: 0.1, MinPerWindow: 3}, 0, 0, false, 3},
		{"the share is added to the minimum", retry.Config{Share: 0.1, MinPerWindow: 3}, 200, 0, false, 23},
		{"empty while requests are queued", retry.Config{Share: 0.1, MinPerWindow: 3}, 200, 0, true, 0},
		{"requests count for the window", retry.Config{Share: 0.1}, 200, 9 * time.Second, false, 20},
		{"requests before the window do not count", retry.Config{Share: 0.1}, 200, 10 * time.Second, false, 0},
		{"nothing allowed", retry.Config{}, 1000, 0, false, 0},
	} {
		t.Run(test.desc, func(t *testing.T) {
			b := retry.NewBudget(test.cfg)
			for range test.requests {
				b.Request(start)
			}
			got := take(b, start.Add(test.wait), test.queued, 1000)
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}

func TestSpentBudgetIsAvailableAgainAfterTheWindow(t *testing.T) {
	c := qt.New(t)
	b := retry.NewBudget(retry.Config{Share: 0.1, MinPerWindow: 2})
	c.Assert(take(b, start, false, 10), qt.Equals, 2)
	c.Assert(take(b, start.Add(9*time.Second), false, 10), qt.Equals, 0)
	c.Assert(take(b, start.Add(10*time.Second), false, 10), qt.Equals, 2)
}

func TestRetriesStayUnderTheShareOfAllRequests(t *testing.T) {
	c := qt.New(t)
	b := retry.NewBudget(retry.Config{Share: 0.1, MinPerWindow: 3})
	granted, requests := 0, 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		b.Request(now)
		requests++
		granted += take(b, now, false, 1) // every request fails once
	}
	windows := 6
	c.Assert(granted <= requests/10+windows*3+3, qt.IsTrue, qt.Commentf("%d of %d", granted, requests))
	c.Assert(granted >= requests/10-10, qt.IsTrue, qt.Commentf("%d of %d", granted, requests))
}

func TestNewShareTakesEffectAtOnce(t *testing.T) {
	c := qt.New(t)
	b := retry.NewBudget(retry.Config{Share: 0.1})
	for range 100 {
		b.Request(start)
	}
	b.SetConfig(retry.Config{Share: 0.2})
	c.Assert(b.Left(start), qt.Equals, 20)
}

// TestNoWindowHoldsMoreThanTheBudget guards against second attempts that stop
// counting before they are as old as the window.
func TestNoWindowHoldsMoreThanTheBudget(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		cfg := retry.Config{Share: 0.2, MinPerWindow: 20}
		b := retry.NewBudget(cfg)
		var granted []time.Time
		now := start.Add(time.Duration(rng.Int64N(int64(time.Second))))
		for range 400 {
			now = now.Add(time.Duration(rng.Int64N(1 + rng.Int64N(int64(3*time.Second)))))
			for range rng.IntN(40) {
				if b.Take(now, false) {
					granted = append(granted, now)
				}
			}
		}
		for i := range granted {
			if j := i + cfg.MinPerWindow; j < len(granted) {
				between := granted[j].Sub(granted[i])
				qt.Assert(t, between >= 10*time.Second, qt.IsTrue, qt.Commentf("seed %d: %d within %s", seed, cfg.MinPerWindow+1, between))
			}
		}
	}
}
