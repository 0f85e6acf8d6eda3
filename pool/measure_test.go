package pool_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/pool/internal/drive"
)

const (
	seeds   = 20
	faultAt = 20 * time.Second
	msecond = time.Millisecond
	workers = 4
)

// service is a service of 8 targets with 2 slots each.
func service(name string) drive.Trace { return sized(name, 8, 2) }

// sized is a service with a floor of half its slots.
func sized(name string, targets, slots int) drive.Trace {
	return drive.Trace{Name: name, Targets: targets, Slots: slots, FloorSlots: targets * slots / 2}
}

func status(rate float64, from, to time.Duration) drive.Load {
	return drive.Load{Route: "status", Rate: rate, From: from, To: to, Work: 40 * msecond, Timeout: 2 * time.Second, Callers: 20}
}

func lookup(rate float64, from, to time.Duration) drive.Load {
	return drive.Load{Route: "lookup", Rate: rate, From: from, To: to, Work: 80 * msecond, Sigma: 0.5, Timeout: 2 * time.Second, Callers: 20}
}

// records is long work: a request takes a hundred times as long as one of status.
func records(rate float64, to time.Duration) drive.Load {
	return drive.Load{Route: "records", Rate: rate, To: to, Work: 4 * time.Second, Timeout: time.Minute}
}

// tailed is work with a long tail of service times.
func tailed(rate float64, to time.Duration) drive.Load {
	return drive.Load{Route: "tailed", Rate: rate, To: to, Work: 60 * msecond, Sigma: 1, Timeout: 3 * time.Second}
}

func noise() drive.Condition {
	return drive.Condition{Target: "*", Kind: drive.KindFailing, Value: 0.002}
}

func fault(kind drive.Kind, value float64) drive.Condition {
	return drive.Condition{Target: "t03", Kind: kind, Value: value}
}

func median[T int | time.Duration](xs []T) T {
	slices.Sort(xs)
	return (xs[(len(xs)-1)/2] + xs[len(xs)/2]) / 2
}

// overSeeds runs the trace that build returns for each seed.
func overSeeds(build func(seed uint64) drive.Trace, opts func(uint64) drive.Options) []*drive.Report {
	reports := make([]*drive.Report, seeds)
	var wg sync.WaitGroup
	next := make(chan int)
	for range workers {
		wg.Go(func() {
			for i := range next {
				seed := uint64(i + 1)
				reports[i] = drive.Run(build(seed), opts(seed))
			}
		})
	}
	for i := range seeds {
		next <- i
	}
	close(next)
	wg.Wait()
	return reports
}

// variant is a scheduler under measurement.
type variant struct {
	name string
	opts func(uint64) drive.Options
}

// variants run on the same traces, to be compared.
var variants = []variant{{"home", drive.Home}, {"direct", drive.Direct}}

// detection is how a fault was detected over all seeds.
type detection struct {
	after time.Duration
	own   int
	// own is the number of requests that the target got until it was ejected, and
	// doubted that until it left the serving state. missed counts the seeds without an
	// ejection, and floor the violations of the floor.
	doubted        int
	missed         int
	falseEjections int
	floor          int
}

// String states the medians.
func (d detection) String() string {
	if d.own >= never {
		return fmt.Sprintf("not found in %d of %d; false ejections %d", d.missed, seeds, d.falseEjections)
	}
	return fmt.Sprintf("serving for %d own requests; ejected after %v, %d own requests; missed %d of %d; false ejections %d",
		d.doubted, d.after.Round(msecond), d.own, d.missed, seeds, d.falseEjections)
}

// detectionLoad is a service with its load, and the limits on detection.
type detectionLoad struct {
	name           string
	targets, slots int
	rate           float64
	begin, span    time.Duration
	after          time.Duration
	own            int
}

// detect measures how the fault of t03 is detected under the given load.
func detect(f drive.Condition, load detectionLoad, opts func(uint64) drive.Options) detection {
	var d detection
	var afters []time.Duration
	var owns, doubted []int
	f.From = drive.Duration(load.begin)
	build := func(seed uint64) drive.Trace {
		tr := sized("detection", load.targets, load.slots)
		tr.Conditions = []drive.Condition{f, noise()}
		tr.Arrivals = drive.Generate(seed, status(load.rate/2, 0, load.span), lookup(load.rate/2, 0, load.span))
		return tr
	}
	for _, rep := range overSeeds(build, opts) {
		after, own, ok := rep.EjectedByMajority("t03", load.begin)
		if !ok {
			d.missed++
			after, own = time.Hour, never
		}
		afters, owns = append(afters, after), append(owns, own)
		_, first, ok := rep.Suspected("t03", load.begin)
		if !ok {
			first = never
		}
		doubted = append(doubted, first)
		d.falseEjections += rep.FalseEjections()
		d.floor += rep.FloorViolations
	}
	d.after, d.own, d.doubted = median(afters), median(owns), median(doubted)
	return d
}

// never stands for the number of requests of a target that was never ejected.
const never = 1 << 20

func TestMeasureDetection(t *testing.T) {
	faults := []struct {
		condition drive.Condition
		bound     bool
	}{
		{fault(drive.KindFailing, 0.3), true},
		{fault(drive.KindSlow, 5), true},
		{fault(drive.KindTruncating, 0.3), false},
		{fault(drive.KindHanging, 1), false},
		{fault(drive.KindHanging, 0.3), false},
		{fault(drive.KindRefusing, 0), false},
		{fault(drive.KindLink, 0), false},
	}
	loads := []detectionLoad{
		{"low load", 8, 2, 8, faultAt, time.Minute, time.Hour, 12},
		{"crest", 8, 2, 350, 8 * time.Second, 12 * time.Second, 2 * time.Second, never},
		{"large, busy", 9, 6, 500, 8 * time.Second, 12 * time.Second, 2 * time.Second, never},
	}
	for _, load := range loads {
		for _, f := range faults {
			for _, v := range variants {
				d := detect(f.condition, load, v.opts)
				t.Logf("%-11s %-10s %.1f %-6s %v", load.name, f.condition.Kind, f.condition.Value, v.name, d)
				if v.name != "home" {
					continue
				}
				c := qt.New(t)
				c.Check(d.floor, qt.Equals, 0)
				c.Check(d.falseEjections, qt.Equals, 0)
				if f.bound {
					c.Check(d.after <= load.after, qt.IsTrue)
					c.Check(d.own <= load.own, qt.IsTrue)
				}
			}
		}
	}
}

func TestMeasureFalseEjections(t *testing.T) {
	span := 40 * time.Second
	slow := drive.Condition{Target: "*", Kind: drive.KindSlow, Value: 5, From: drive.Duration(faultAt)}
	hang := drive.Condition{Target: "*", Kind: drive.KindHanging, Value: 1, From: drive.Duration(faultAt)}
	cases := []struct {
		desc       string
		conditions []drive.Condition
		loads      []drive.Load
	}{
		{"quiet", nil, []drive.Load{status(8, 0, span), lookup(8, 0, span)}},
		{"busy", nil, []drive.Load{status(50, 0, span), lookup(50, 0, span)}},
		{"common slowness, quiet", []drive.Condition{slow}, []drive.Load{status(8, 0, span), lookup(8, 0, span)}},
		{"common slowness, busy", []drive.Condition{slow}, []drive.Load{status(50, 0, span), lookup(50, 0, span)}},
		{"common slowness, long tails", []drive.Condition{slow}, []drive.Load{tailed(100, span)}},
		{"common hanging", []drive.Condition{hang}, []drive.Load{status(50, 0, span), lookup(50, 0, span)}},
		{"long work", nil, []drive.Load{status(20, 0, span), records(2.2, span)}},
		{"crest", nil, []drive.Load{
			status(60, 0, span), lookup(60, 0, span),
			status(120, faultAt, 35*time.Second), lookup(120, faultAt, 35*time.Second),
		}},
	}
	for _, tc := range cases {
		for _, v := range variants {
			falseEjections := 0
			build := func(seed uint64) drive.Trace {
				tr := service(tc.desc)
				tr.Conditions = append([]drive.Condition{noise()}, tc.conditions...)
				tr.Arrivals = drive.Generate(seed, tc.loads...)
				return tr
			}
			for _, rep := range overSeeds(build, v.opts) {
				falseEjections += rep.FalseEjections()
			}
			t.Logf("%-28s %-6s false ejections %d over %d seeds", tc.desc, v.name, falseEjections, seeds)
			if v.name == "home" {
				qt.Check(t, falseEjections, qt.Equals, 0, qt.Commentf(tc.desc))
			}
		}
	}
}
