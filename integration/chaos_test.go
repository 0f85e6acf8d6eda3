package integration

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
	"filbertmill.example/testbed/answer"
	"filbertmill.example/testbed/faultproxy"
	"filbertmill.example/testbed/memory"
)

// The size and seed of TestBookingsUnderFaults.
var (
	bookingCount = flag.Int("bookings", 1500, "number of bookings in TestBookingsUnderFaults")
	bookingSeed  = flag.Uint64("bookings.seed", 1, "seed of TestBookingsUnderFaults")
)

const (
	// bookingCallers is the number of concurrent callers.
	bookingCallers = 16
	// maxBookingAttempts is how often a caller sends a booking at most.
	maxBookingAttempts = 4
	// bookingTimeout is how long a caller waits for one answer.
	bookingTimeout = 1500 * time.Millisecond
	// bookingGap is the mean time between an answer to a caller and its next booking.
	bookingGap = 100 * time.Millisecond
	// faultGap is the mean time between two faults.
	faultGap = 250 * time.Millisecond
)

// tally counts answers to callers and injected faults, and lists answers that were
// wrong.
type tally struct {
	mu       sync.Mutex
	answers  map[string]int
	faults   map[string]int
	problems []string
}

// countAnswer counts an answer, or the lack of one, by its result.
func (t *tally) countAnswer(result string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[result]++
}

// problem records that something was wrong.
func (t *tally) problem(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.problems = append(t.problems, fmt.Sprintf(format, args...))
}

// bookUntilDone sends one booking and checks each answer. It sends the booking again,
// through any node, until it is answered as run or maxBookingAttempts is reached.
func (f *bookingFleet) bookUntilDone(t *tally, rng *rand.Rand, id string) {
	for attempt := 1; attempt <= maxBookingAttempts; attempt++ {
		s := f.booking(rng.IntN(len(f.nodes)), id,
			answer.HeaderAttempt, strconv.Itoa(attempt), answer.HeaderBytes, "700")
		s.timeout = bookingTimeout
		r := s.send()
		received := time.Now()
		switch {
		case r.failure != nil:
			t.countAnswer("no answer")
			continue
		case r.kind == outcome.Run && r.status == 200:
			t.countAnswer("run")
			if err := answer.Check(r.body, id, answer.DigestOf([]byte(s.body)), 700); err != nil {
				t.problem("%v", err)
			}
			return
		case r.kind == outcome.NotRun:
			t.countAnswer("not-run " + r.reason)
			f.checkNotRun(t, id, attempt, received, r.reason)
		default:
			t.countAnswer(string(r.kind) + " " + r.reason)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkNotRun checks that no attempt of a booking's caller had run when the caller
// received that one had not run. Later runs are checked by checkLedger, by their
// attempt.
func (f *bookingFleet) checkNotRun(t *tally, id string, attempt int, received time.Time, reason string) {
	t.mu.Lock()
	f.notRun[id] = append(f.notRun[id], attempt)
	t.mu.Unlock()
	for _, run := range f.ledger.Runs(id) {
		if run.Start.Before(received) {
			t.problem("%s: attempt %d was answered as not run (%s), but attempt %d ran", id, attempt, reason, run.Attempt)
		}
	}
}

// checkLedger checks, after all bookings have ended, that none ran twice and that no
// attempt ran that was answered as not run.
func (f *bookingFleet) checkLedger(t *tally, ids []string) {
	for _, id := range ids {
		runs := f.ledger.Runs(id)
		if len(runs) > 1 {
			t.problem("%s ran %d times: %+v", id, len(runs), runs)
		}
		for _, run := range runs {
			for _, attempt := range f.notRun[id] {
				if run.Attempt == attempt {
					t.problem("%s: attempt %d was answered as not run and ran", id, attempt)
				}
			}
		}
	}
}

// injectFaults injects one fault after another until the context ends, and then
// removes those that are left.
func (f *bookingFleet) injectFaults(ctx context.Context, c *qt.C, t *tally, rng *rand.Rand) {
	faults := []struct {
		name string
		run  func()
	}{
		{"a node is suspended", func() {
			n := f.nodes[rng.IntN(len(f.nodes))]
			_ = n.Pause()
			sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
			_ = n.Resume()
		}},
		{"a node is killed and restarted", func() {
			i := rng.IntN(len(f.nodes))
			f.nodes[i].Kill()
			sleep(ctx, time.Duration(rng.IntN(500))*time.Millisecond)
			f.start(c, i)
			c.Check(f.nodes[i].Ready(context.Background()), qt.IsNil)
		}},
		{"answers of a target are lost", func() {
			f.dropOneWay(ctx, rng, faultproxy.ToCaller)
		}},
		{"requests to a target are lost", func() {
			f.dropOneWay(ctx, rng, faultproxy.ToUpstream)
		}},
		{"connections to a target are cut", func() {
			f.proxies[rng.IntN(len(f.proxies))].Cut()
		}},
		{"answers of a target are cut short", func() {
			p := f.proxies[rng.IntN(len(f.proxies))]
			p.Set(faultproxy.ToCaller, faultproxy.Fault{TruncateAfter: 300})
			sleep(ctx, 100*time.Millisecond)
			p.Set(faultproxy.ToCaller, faultproxy.Fault{})
		}},
		{"a target crashes", func() {
			f.targets[rng.IntN(len(f.targets))].Crash()
		}},
		{"the store is unavailable", func() {
			f.store.Store.SetFaults(memory.Faults{Unavailable: true})
			sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
			f.store.Store.SetFaults(memory.Faults{})
		}},
		{"replies of the store are lost", func() {
			f.store.Store.SetFaults(memory.Faults{LoseReplies: 2})
		}},
	}
	for ctx.Err() == nil {
		fault := faults[rng.IntN(len(faults))]
		t.mu.Lock()
		t.faults[fault.name]++
		t.mu.Unlock()
		fault.run()
		sleep(ctx, time.Duration(rng.Int64N(int64(2*faultGap))))
	}
	f.store.Store.SetFaults(memory.Faults{})
}

// dropOneWay drops the bytes of one direction between the fleet and a target for
// 300 ms, then cuts the connections.
func (f *bookingFleet) dropOneWay(ctx context.Context, rng *rand.Rand, d faultproxy.Direction) {
	p := f.proxies[rng.IntN(len(f.proxies))]
	p.Set(d, faultproxy.Fault{BlackHole: true})
	sleep(ctx, 300*time.Millisecond)
	p.Set(d, faultproxy.Fault{})
	p.Cut()
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// TestBookingsUnderFaults guards against bookings that run twice, that run although
// their caller received that they had not, and that are answered with the body of
// another. Callers send a booking again through other nodes while its outcome is
// unknown; in the meantime nodes are killed and suspended, links drop one direction,
// answers are cut, targets crash, and the store is unavailable or loses its replies.
func TestBookingsUnderFaults(t *testing.T) {
	c := qt.New(t)
	f := startBookings(c, 5)
	sum := &tally{answers: make(map[string]int), faults: make(map[string]int)}
	ctx, stop := context.WithCancel(context.Background())
	var injecting sync.WaitGroup
	injecting.Go(func() { f.injectFaults(ctx, c, sum, rand.New(rand.NewPCG(*bookingSeed, 0))) })

	ids := make([]string, *bookingCount)
	work := make(chan string)
	var booking sync.WaitGroup
	for k := range bookingCallers {
		rng := rand.New(rand.NewPCG(*bookingSeed, uint64(k+1)))
		booking.Go(func() {
			for id := range work {
				f.bookUntilDone(sum, rng, id)
				time.Sleep(time.Duration(rng.Int64N(int64(2 * bookingGap))))
			}
		})
	}
	for i := range ids {
		ids[i] = fmt.Sprint("van-", i)
		work <- ids[i]
	}
	close(work)
	booking.Wait()
	stop()
	injecting.Wait()
	f.checkLedger(sum, ids)

	t.Logf("%d bookings, seed %d; answers: %v; faults: %v", len(ids), *bookingSeed, sum.answers, sum.faults)
	c.Assert(sum.problems, qt.HasLen, 0)
	c.Assert(sum.answers["run"] > len(ids)/2, qt.IsTrue, qt.Commentf("too few ran for the test to show anything"))
}
