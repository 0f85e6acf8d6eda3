package pool_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/pool/internal/drive"
)

// learning is the time after which latencies and loads are known.
const learning = 10 * time.Second

// longWork is the result for short and long work over all seeds.
type longWork struct {
	// wait is the 99th percentile of the wait of short work. settled is the same
	// without the learning time.
	wait, settled time.Duration
	longWait      time.Duration
	short, long   int
}

// measureLong runs short work at the given rate. If long is set, a tenth of all
// requests are long ones.
func measureLong(rate float64, long bool, opts func(uint64) drive.Options) longWork {
	span := 40 * time.Second
	build := func(seed uint64) drive.Trace {
		loads := []drive.Load{status(rate, 0, span)}
		if long {
			loads = append(loads, records(rate/9, span))
		}
		tr := service("long work")
		tr.Arrivals = drive.Generate(seed, loads...)
		return tr
	}
	var m longWork
	var waits, settled []time.Duration
	for _, rep := range overSeeds(build, opts) {
		own := rep.Waits["status"]
		waits = append(waits, own...)
		settled = append(settled, own[min(len(own), int(rate*learning.Seconds())):]...)
		m.longWait = max(m.longWait, drive.Quantile(rep.Waits["records"], 1))
		m.short += rep.InTimeByRoute["status"]
		m.long += rep.InTimeByRoute["records"]
	}
	m.wait = drive.Quantile(waits, 0.99)
	m.settled = drive.Quantile(settled, 0.99)
	return m
}

// longVariants are the variants, and a home whose long work holds a fixed share of
// the slots, whatever the short load.
var longVariants = append(variants[:len(variants):len(variants)], variant{"fixed", func(seed uint64) drive.Options {
	o := drive.Home(seed)
	o.Config.LongDelay = time.Hour
	return o
}})

func TestMeasureLongWork(t *testing.T) {
	for _, rate := range []float64{20, 250, 300} {
		for _, v := range longVariants {
			without := measureLong(rate, false, v.opts)
			with := measureLong(rate, true, v.opts)
			t.Logf("%3.0f/s short %-6s p99 wait without long work %v (from the start %v), with it %v (%v); answers in time to short work %d and %d, to long work %d, its longest wait %v",
				rate, v.name, without.settled, without.wait, with.settled, with.wait, without.short, with.short, with.long, with.longWait)
			if v.name == "home" {
				qt.Check(t, with.settled <= 2*without.settled, qt.IsTrue, qt.Commentf("%v/s", rate))
			}
		}
	}
}
