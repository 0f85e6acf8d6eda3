package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/pool/internal/drive"
)

// errorShare is the share of requests that any target fails by an error.
const errorShare = 0.012

// bouts returns the conditions of targets that fail in bouts: each is sound for a
// random time with the given mean, then fails a share of its requests in the given
// way for a random time. It also returns the number of bouts.
func bouts(seed uint64, targets int, kind drive.Kind, share float64, sound, faulty, end time.Duration) ([]drive.Condition, int) {
	rng := rand.New(rand.NewPCG(seed, 77))
	list := []drive.Condition{{Target: "*", Kind: drive.KindFailing, Value: errorShare}}
	n := 0
	for i := range targets {
		at := time.Duration(rng.Float64() * float64(sound))
		for at < end {
			d := time.Duration((0.5 + rng.Float64()) * float64(faulty))
			list = append(list, drive.Condition{
				Target: drive.TargetName(i), Kind: kind, Value: share,
				From: drive.Duration(at), To: drive.Duration(at + d),
			})
			n++
			at += d + time.Duration(rng.ExpFloat64()*float64(sound))
		}
	}
	return list, n
}

// boutTrace is 40 s of bookings, which may run once, at a quarter of the slots.
func boutTrace(seed uint64, targets, slots int, work time.Duration, timeout time.Duration, kind drive.Kind) (drive.Trace, int) {
	const end = 40 * time.Second
	conditions, n := bouts(seed, targets, kind, 0.8, 6300*time.Millisecond, 2700*time.Millisecond, end)
	tr := drive.Trace{Name: "bouts", Targets: targets, Slots: slots, Conditions: conditions}
	rate := 0.25 * float64(targets*slots) / work.Seconds()
	tr.Arrivals = drive.Generate(seed, drive.Load{
		Route: "book", Rate: rate, To: end, Work: work, Sigma: 0.5, Timeout: timeout, NonIdempotent: true,
	})
	return tr, n
}

// lostBookings returns how many bookings failed in runs of boutTrace, of how many in
// how many bouts.
func lostBookings(site boutSite, kind drive.Kind) (lost, offered, bouts float64) {
	for seed := range site.seeds {
		tr, n := boutTrace(seed+1, site.targets, site.slots, site.work, site.timeout, kind)
		p := drive.Run(tr, drive.LeastCost(seed))
		lost += float64(p.Failed + p.Refused)
		offered += float64(p.Offered)
		bouts += float64(n)
	}
	return lost, offered, bouts
}

// boutSite is a service whose targets fail in bouts.
type boutSite struct {
	targets, slots int
	work, timeout  time.Duration
	seeds          uint64
}

// Targets fail in bouts by resets, hangs, errors or cut answers, each of which the
// scheduler has to learn. A bout cannot be foreseen, so that bookings pay one failure
// for most bouts. With resets, which show at once, they must pay two a bout at most,
// besides the errors that any target makes now and then; with failures that show only
// when the answer is due, one more.
func TestBookingsThatBoutsCost(t *testing.T) {
	for name, site := range map[string]boutSite{
		"17 targets of 4 slots":  {17, 4, 280 * msecond, 2500 * msecond, 6},
		"100 targets of 2 slots": {100, 2, 140 * msecond, 1500 * msecond, 1},
	} {
		for kind, failuresPerBout := range map[drive.Kind]float64{
			drive.KindResetting: 2, drive.KindHanging: 3, drive.KindFailing: 3, drive.KindTruncating: 3,
		} {
			t.Run(fmt.Sprintf("%s/%s", name, kind), func(t *testing.T) {
				t.Parallel()
				lost, offered, bouts := lostBookings(site, kind)
				allowed := failuresPerBout*bouts + errorShare*offered
				qt.Check(t, lost <= allowed, qt.IsTrue, qt.Commentf("%.0f of %.0f lost in %.0f bouts, %.0f allowed", lost, offered, bouts, allowed))
			})
		}
	}
}

// Targets that fail in bouts must cost bookings little more by a way of failing that
// the scheduler has to learn than by resets: one failure more in each bout.
func TestWaysOfFailingCostAlike(t *testing.T) {
	site := boutSite{17, 4, 280 * msecond, 2500 * msecond, 6}
	byResets, _, bouts := lostBookings(site, drive.KindResetting)
	for _, kind := range []drive.Kind{drive.KindHanging, drive.KindFailing, drive.KindTruncating} {
		lost, offered, _ := lostBookings(site, kind)
		t.Logf("%s: %.0f of %.0f lost, %.0f by resets, %.0f bouts", kind, lost, offered, byResets, bouts)
		qt.Check(t, lost <= byResets+bouts, qt.IsTrue, qt.Commentf("%s", kind))
	}
}
