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
	// bookingCallers is the number of callers that book at once.
	bookingCallers = 16
	// bookingSendings is how often a caller sends a booking at most.
	bookingSendings = 4
	// bookingPatience is how long a caller waits for one answer.
	bookingPatience = 1500 * time.Millisecond
	// bookingGap is the mean time between two bookings of a caller.
	bookingGap = 100 * time.Millisecond
	// faultGap is the mean time between two faults.
	faultGap = 250 * time.Millisecond
)

// tally counts what callers were told and what was wrong with it.
type tally struct {
	mu       sync.Mutex
	told     map[string]int
	faults   map[string]int
	problems []string
}

func (t *tally) tell(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told[what]++
}

func (t *tally) problem(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.problems = append(t.problems, fmt.Sprintf(format, args...))
}

// bookUntilKnown sends one booking, again through other nodes while its caller
// cannot know whether it ran, and checks each answer.
func (f *bookingFleet) bookUntilKnown(t *tally, rng *rand.Rand, id string) {
	for attempt := 1; attempt <= bookingSendings; attempt++ {
		s := f.booking(rng.IntN(len(f.nodes)), id,
			answer.HeaderAttempt, strconv.Itoa(attempt), answer.HeaderBytes, "700")
		s.patience = bookingPatience
		r := s.send()
		told := time.Now()
		switch {
		case r.failure != nil:
			t.tell("no answer")
			continue
		case r.kind == outcome.Run && r.status == 200:
			t.tell("run")
			if err := answer.Check(r.body, id, answer.DigestOf([]byte(s.body)), 700); err != nil {
				t.problem("%v", err)
			}
			return
		case r.kind == outcome.NotRun:
			t.tell("not-run " + r.reason)
			f.checkNotRun(t, id, attempt, told, r.reason)
		default:
			t.tell(string(r.kind) + " " + r.reason)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkNotRun checks that no sending of a booking had run when one was called
// not run. Later runs are checked at the end, by their attempt.
func (f *bookingFleet) checkNotRun(t *tally, id string, attempt int, told time.Time, reason string) {
	t.mu.Lock()
	f.notRun[id] = append(f.notRun[id], attempt)
	t.mu.Unlock()
	for _, run := range f.ledger.Runs(id) {
		if run.Start.Before(told) {
			t.problem("%s: sending %d was told %s, but sending %d ran", id, attempt, reason, run.Attempt)
		}
	}
}

// judge checks the ledger once all is over.
func (f *bookingFleet) judge(t *tally, ids []string) {
	for _, id := range ids {
		runs := f.ledger.Runs(id)
		if len(runs) > 1 {
			t.problem("%s ran %d times: %+v", id, len(runs), runs)
		}
		for _, run := range runs {
			for _, attempt := range f.notRun[id] {
				if run.Attempt == attempt {
					t.problem("%s: sending %d was called not run and ran", id, attempt)
				}
			}
		}
	}
}

// disturb brings about one fault after another until the context ends, and
// mends all of them then.
func (f *bookingFleet) disturb(ctx context.Context, c *qt.C, t *tally, rng *rand.Rand) {
	faults := []struct {
		name string
		run  func()
	}{
		{"a node is paused", func() {
			n := f.nodes[rng.IntN(len(f.nodes))]
			_ = n.Pause()
			sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
			_ = n.Resume()
		}},
		{"a node is killed and started again", func() {
			i := rng.IntN(len(f.nodes))
			f.nodes[i].Kill()
			sleep(ctx, time.Duration(rng.IntN(500))*time.Millisecond)
			f.start(c, i)
			c.Check(f.nodes[i].Ready(context.Background()), qt.IsNil)
		}},
		{"answers of a target are lost", func() {
			f.oneWay(ctx, rng, faultproxy.ToCaller)
		}},
		{"requests to a target are lost", func() {
			f.oneWay(ctx, rng, faultproxy.ToUpstream)
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
		{"the store is away", func() {
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

// oneWay loses what passes one way between the fleet and a target.
func (f *bookingFleet) oneWay(ctx context.Context, rng *rand.Rand, d faultproxy.Direction) {
	p := f.proxies[rng.IntN(len(f.proxies))]
	p.Set(d, faultproxy.Fault{BlackHole: true})
	sleep(ctx, 300*time.Millisecond)
	p.Set(d, faultproxy.Fault{})
	p.Cut()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// TestBookingsUnderFaults has callers book, and send again through other nodes
// when they get no answer, while nodes crash and pause, links fail one way,
// answers are cut, targets crash and the store comes and goes.
func TestBookingsUnderFaults(t *testing.T) {
	c := qt.New(t)
	f := startBookings(c, 5)
	sum := &tally{told: make(map[string]int), faults: make(map[string]int)}
	ctx, stop := context.WithCancel(context.Background())
	var disturbing sync.WaitGroup
	disturbing.Go(func() { f.disturb(ctx, c, sum, rand.New(rand.NewPCG(*bookingSeed, 0))) })

	ids := make([]string, *bookingCount)
	work := make(chan string)
	var booking sync.WaitGroup
	for k := range bookingCallers {
		rng := rand.New(rand.NewPCG(*bookingSeed, uint64(k+1)))
		booking.Go(func() {
			for id := range work {
				f.bookUntilKnown(sum, rng, id)
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
	disturbing.Wait()
	f.judge(sum, ids)

	t.Logf("%d bookings, seed %d; answers: %v; faults: %v", len(ids), *bookingSeed, sum.told, sum.faults)
	c.Assert(sum.problems, qt.HasLen, 0)
	c.Assert(sum.told["run"] > len(ids)/2, qt.IsTrue, qt.Commentf("too few ran for the test to show anything"))
}
