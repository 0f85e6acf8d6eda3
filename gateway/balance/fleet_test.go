package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/pool"
	"filbertmill.example/retry"
)

// testBound is the limit on second attempts in the tests of a fleet.
var testBound = retry.Bound{Window: 10 * time.Second, Ratio: 0.2, Extra: 60}

const (
	// fleetHosts is the number of hosts of a test fleet, and fleetRate the total
	// number of requests per second that they receive.
	fleetHosts = 24
	fleetRate  = 100
	// fleetTargets is the number of targets, enough to run all attempts concurrently.
	fleetTargets = 60
	// fleetAttempts is the number of targets to which a request may be sent.
	fleetAttempts = 3
	// fleetStep is the step of the virtual time.
	fleetStep = 10 * time.Millisecond
	// fleetDelay is the longest time of a second attempt to its target, and of tokens
	// to a home that is not overloaded. overloadDelay is the longest time of tokens to
	// an overloaded home.
	fleetDelay    = 400 * time.Millisecond
	overloadDelay = 4 * time.Second
	// fleetBurst is the factor by which the rate of requests rises in a burst.
	fleetBurst = 3
)

// testFleet simulates hosts that request targets from homes in virtual time, without
// a network. Hosts may disagree on which node is the home.
type testFleet struct {
	rng    *rand.Rand
	now    time.Time
	hosts  []*testHost
	homes  []*Loop
	lastID uint64
	// failing is the share of attempts that fail.
	failing float64
	// dropDeposit reports whether the tokens of an attempt are lost on their way to a
	// home.
	dropDeposit func() bool
	// overloaded is a home that reads its messages late, or nil.
	overloaded *Loop
	// inTransit contains the tokens that have not reached their home yet.
	inTransit []depositInTransit
	// requests and seconds contain the times of requests and of second attempts.
	requests []time.Time
	seconds  []time.Time
}

// depositInTransit is a Deposit that has not reached its home yet.
type depositInTransit struct {
	sent    time.Time
	arrives time.Time
	to      *Loop
	deposit retry.Deposit
}

// testHost is a host that receives callers' requests.
type testHost struct {
	// home is the index of the home from which it requests targets. If it is negative,
	// the host uses its own fallback Loop.
	home     int
	fallback *Loop
	issuer   *retry.Issuer
}

func newTestFleet(seed uint64, homes int) *testFleet {
	f := &testFleet{rng: rand.New(rand.NewPCG(seed, 0)), now: epoch, dropDeposit: func() bool { return false }}
	for range homes {
		f.homes = append(f.homes, newLoop(fleetTargets))
	}
	for range fleetHosts {
		f.hosts = append(f.hosts, f.newHost())
	}
	return f
}

func (f *testFleet) newHost() *testHost {
	h := &testHost{fallback: newLoop(fleetTargets), issuer: retry.NewIssuer(testBound)}
	h.issuer.Issue(f.now, "s", false, fleetHosts)
	return h
}

// run simulates the fleet for a time at its normal rate of requests.
func (f *testFleet) run(d time.Duration) { f.runAt(d, fleetRate) }

func (f *testFleet) runAt(d time.Duration, rate float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		f.deliver()
		for range f.poisson(rate * fleetStep.Seconds()) {
			f.request(f.hosts[f.rng.IntN(len(f.hosts))])
		}
	}
}

// deliver adds the tokens that have reached their home.
func (f *testFleet) deliver() {
	f.inTransit = slices.DeleteFunc(f.inTransit, func(d depositInTransit) bool {
		arrived := !f.now.Before(d.arrives)
		if arrived {
			d.to.service("s", f.now).takeDeposit(f.now, d.deposit, d.to.clockAt(d.sent))
		}
		return arrived
	})
}

// delay draws a random time up to the longest.
func (f *testFleet) delay(longest time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(longest)))
}

// poisson draws from a Poisson distribution with the given mean.
func (f *testFleet) poisson(mean float64) int {
	n := 0
	for left := f.rng.ExpFloat64(); left < mean; left += f.rng.ExpFloat64() {
		n++
	}
	return n
}

// request simulates one request with all of its attempts.
func (f *testFleet) request(h *testHost) {
	f.requests = append(f.requests, f.now)
	kind := FirstAttempt
	for range fleetAttempts {
		if !f.attempt(h, kind) || f.rng.Float64() >= f.failing {
			return
		}
		kind = RetryAfterFailure
	}
}

// attempt requests a target from the host's home and immediately reports the result.
// It reports whether a target was granted.
func (f *testFleet) attempt(h *testHost, kind AttemptKind) bool {
	l := h.fallback
	if h.home >= 0 {
		l = f.homes[h.home]
	}
	f.lastID++
	id := ID{Number: f.lastID}
	if d := h.issuer.Issue(f.now, "s", kind == FirstAttempt, fleetHosts); !f.dropDeposit() {
		longest := fleetDelay
		if l == f.overloaded {
			longest = overloadDelay
		}
		f.inTransit = append(f.inTransit, depositInTransit{f.now, f.now.Add(f.delay(longest)), l, d})
	}
	if submit(l, f.now, Attempt{ID: id, Kind: kind}).Target == "" {
		return false
	}
	if kind != FirstAttempt {
		f.seconds = append(f.seconds, f.now.Add(f.delay(fleetDelay)))
	}
	l.service("s", f.now).finish(f.now, Report{ID: id, Service: "s", Verdict: pool.VerdictAnswered})
	return true
}

// worstWindow returns the start of the window in which the second attempts exceed
// the limit by the most, and by how many.
func (f *testFleet) worstWindow() (start time.Duration, excess float64) {
	excess = -testBound.Extra
	slices.SortFunc(f.seconds, time.Time.Compare)
	for i, at := range f.seconds {
		requests := 0
		for _, before := range []time.Duration{0, testBound.Window / 2, testBound.Window} {
			from := at.Add(-before)
			requests = max(requests, countFrom(f.requests, from.Add(testBound.Window))-countFrom(f.requests, from))
		}
		n := countFrom(f.seconds, at.Add(testBound.Window)) - i
		if over := float64(n) - testBound.Ratio*float64(requests) - testBound.Extra; over > excess {
			start, excess = at.Sub(epoch), over
		}
	}
	return start, excess
}

// countFrom returns the number of times before to.
func countFrom(times []time.Time, to time.Time) int {
	n, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return n
}

// checkBound fails the test if any window contains more second attempts than the
// limit.
func (f *testFleet) checkBound(t *testing.T, desc string) {
	t.Helper()
	start, excess := f.worstWindow()
	qt.Check(t, excess <= 0, qt.IsTrue, qt.Commentf("%s: %.0f second attempts too many in the window from %s", desc, excess, start))
}

// split assigns each host one of the first n homes at random.
func (f *testFleet) split(n int) {
	for _, h := range f.hosts {
		h.home = f.rng.IntN(n)
	}
}

// TestOverlappingHomesStayWithinTheRetryBound guards against several homes of
// one service that each spend the whole fleet's second attempts.
func TestOverlappingHomesStayWithinTheRetryBound(t *testing.T) {
	for homes := 2; homes <= 5; homes++ {
		f := newTestFleet(uint64(homes), homes)
		f.run(15 * time.Second)
		f.failing = 0.9
		f.split(homes)
		f.run(12 * time.Second)
		f.checkBound(t, fmt.Sprintf("%d homes at once", homes))
	}
}

// TestSuccessiveHomesStayWithinTheRetryBound guards against a new home that does not
// know of the second attempts that its predecessor granted.
func TestSuccessiveHomesStayWithinTheRetryBound(t *testing.T) {
	f := newTestFleet(1, 1)
	f.run(15 * time.Second)
	f.failing = 0.9
	for range 12 {
		f.run(time.Second)
		f.homes[0] = newLoop(fleetTargets)
	}
	f.checkBound(t, "a home a second")
}

// TestOverloadedHomesStayWithinTheRetryBound guards against an overloaded home that
// reads tokens seconds after they were sent, and spends them once it has caught up.
func TestOverloadedHomesStayWithinTheRetryBound(t *testing.T) {
	for seed := range uint64(10) {
		f := newTestFleet(seed, 2)
		f.run(10 * time.Second)
		f.overloaded = f.homes[0]
		f.run(5 * time.Second)
		f.failing, f.overloaded = 1, nil
		f.run(12 * time.Second)
		f.checkBound(t, fmt.Sprintf("seed %d", seed))
	}
}

// TestFleetStaysWithinTheRetryBound guards against second attempts beyond the limit
// in random sequences of faults: homes that start, end and overlap, hosts that start,
// end and use their fallback, and tokens that are lost.
func TestFleetStaysWithinTheRetryBound(t *testing.T) {
	for seed := range uint64(40) {
		f := newTestFleet(seed, 5)
		f.dropDeposit = func() bool { return f.rng.IntN(4) == 0 }
		for range 40 {
			f.applyRandomFault()
			if f.rng.IntN(8) == 0 {
				f.runAt(2*time.Second, fleetBurst*fleetRate)
			}
			f.run(time.Duration(f.rng.IntN(2000)) * time.Millisecond / fleetStep * fleetStep)
		}
		f.checkBound(t, fmt.Sprintf("seed %d", seed))
	}
}

// applyRandomFault makes one random change to the fleet.
func (f *testFleet) applyRandomFault() {
	host := f.rng.IntN(len(f.hosts))
	switch f.rng.IntN(9) {
	case 0:
		f.failing = []float64{0, 0.1, 0.5, 1}[f.rng.IntN(4)]
	case 1:
		f.homes[f.rng.IntN(len(f.homes))] = newLoop(fleetTargets)
	case 2:
		f.split(1 + f.rng.IntN(len(f.homes)))
	case 3:
		home := f.rng.IntN(len(f.homes))
		for _, h := range f.hosts {
			h.home = home
		}
	case 4:
		home := f.hosts[host].home
		f.hosts[host] = f.newHost()
		f.hosts[host].home = home
	case 5:
		f.hosts[host].home = -1
	case 7:
		f.overloaded = f.homes[f.rng.IntN(len(f.homes))]
	case 8:
		f.overloaded = nil
	case 6:
		for i := range f.hosts {
			f.hosts[i] = f.newHost()
		}
		for i := range f.homes {
			f.homes[i] = newLoop(fleetTargets)
		}
	}
}

// TestCalmFleetSpendsMostOfTheRetryBound guards against a fleet that stays within
// the limit only because it grants far fewer second attempts than allowed.
func TestCalmFleetSpendsMostOfTheRetryBound(t *testing.T) {
	f := newTestFleet(1, 1)
	f.failing = 1
	f.run(70 * time.Second)
	from := countFrom(f.seconds, epoch.Add(20*time.Second))
	allowed := 5 * (testBound.Ratio*fleetRate*testBound.Window.Seconds() + testBound.Extra)
	spent := float64(len(f.seconds) - from)
	qt.Check(t, spent > allowed/2, qt.IsTrue, qt.Commentf("%.0f second attempts of %.0f allowed", spent, allowed))
	f.checkBound(t, "one home")
}
