package integration

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
	"filbertmill.example/testbed/load"
)

// rollingRestarts is the number of nodes restarted one after another in
// TestRollingRestartsCutNoBooking.
var rollingRestarts = flag.Int("rolling", 6, "number of restarts in TestRollingRestartsCutNoBooking")

const (
	// rollingCallers is the number of concurrent callers.
	rollingCallers = 8
	// readinessInterval is the time between two of the balancer's requests for a
	// node's readiness. It is well below the drain delay of the test fleets, 200 ms.
	readinessInterval = 20 * time.Millisecond
	// restartInterval is the time between two restarts, in which homes replace the
	// witnesses that they lost.
	restartInterval = 1500 * time.Millisecond
)

// TestRollingRestartsCutNoBooking guards against bookings that are cut, refused or run
// twice while nodes shut down gracefully and restart one after another, homes and
// witnesses among them. Each booking must run once and be answered at its first
// attempt.
func TestRollingRestartsCutNoBooking(t *testing.T) {
	c := qt.New(t)
	f := startBookings(c, 5)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var entries []load.Entry
	index := make(map[string]int)
	for i, spec := range f.specs {
		entries = append(entries, load.Entry{Address: spec.Callers, ReadyURL: "http://" + spec.Admin + "/readyz"})
		index[spec.Callers] = i
	}
	balancer := load.NewBalancer(ctx, 1, readinessInterval, entries...)

	var last atomic.Int64
	var over atomic.Bool
	sum := &tally{answers: make(map[string]int)}
	var booking sync.WaitGroup
	for range rollingCallers {
		booking.Go(func() {
			for !over.Load() {
				id := fmt.Sprint("van-", last.Add(1))
				i := index[balancer.Pick(nil)]
				r := f.book(i, id)
				if r.failure != nil || r.kind != outcome.Run || r.status != 200 {
					sum.problem("%s through %s: %v %s %s %s", id, f.specs[i].Name, r.failure, r.kind, r.reason, r.body)
				}
				sum.countAnswer(string(r.kind) + r.reason)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	for k := range *rollingRestarts {
		i := k % len(f.nodes)
		c.Check(f.nodes[i].Terminate(), qt.IsNil)
		c.Check(f.nodes[i].Wait(), qt.IsNil)
		f.start(c, i)
		c.Check(f.nodes[i].Ready(ctx), qt.IsNil)
		time.Sleep(restartInterval)
	}
	over.Store(true)
	booking.Wait()

	for i := range last.Load() {
		id := fmt.Sprint("van-", i+1)
		c.Check(f.ledger.Runs(id), qt.HasLen, 1, qt.Commentf(id))
	}
	t.Logf("%d bookings over %d restarts: %v", last.Load(), *rollingRestarts, sum.answers)
	c.Assert(sum.problems, qt.HasLen, 0)
}
