package main

import (
	"context"
	"time"

	"filbertmill.example/testbed/load"
	"filbertmill.example/testbed/target"
)

// scenario is something that is done with a deployment.
type scenario struct {
	name string
	// once limits the scenario to the first deployment in a quick run.
	once bool
	run  func(ctx context.Context, b *bench, r *report) error
	// fleet takes the place of run where nodes run without callers; it is
	// measured in the home variant only.
	fleet func(ctx context.Context, o options, d deployment, l label, r *report) error
}

// scenarios returns all scenarios in the order in which they run.
func scenarios() []scenario {
	return []scenario{
		{name: "idle", once: true, run: measureIdle},
		{name: "config", once: true, fleet: measureConfig},
		{name: "added", run: measureAdded},
		{name: "crest", run: measureCrest},
		{name: "gray_crest", once: true, run: measureGrayCrest},
		{name: "gray_low", once: true, run: measureGrayLow},
		{name: "many_gray", once: true, run: measureManyGray},
		{name: "healthy", once: true, run: measureHealthy},
		{name: "long", once: true, run: measureLong},
		{name: "odd_answers", once: true, run: measureOddAnswers},
		{name: "drain", once: true, run: measureDrain},
		{name: "bookings", once: true, run: measureBookings},
	}
}

// latency is a sample's latency, for load.Quantile.
func latency(s load.Sample) time.Duration { return s.Latency }

// wait is a sample's wait, for load.Quantile.
func wait(s load.Sample) time.Duration { return s.Wait() }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// addMixedOrCut reports answers that callers took as whole and that were not.
func addMixedOrCut(b *bench, r *report, samples []load.Sample) {
	n := 0
	for _, s := range samples {
		for _, at := range s.Attempts {
			if at.Result == load.ResultTruncated || at.Result == load.ResultMismatch {
				n++
			}
		}
	}
	r.add(b.label, mixedOrCut, float64(n))
}

// addAnswered reports the share of requests answered whole and in time.
func addAnswered(b *bench, r *report, samples []load.Sample) {
	r.add(b.label, answeredRatio, ratio(load.Count(samples, load.Sample.Good), len(samples)))
}

// after runs something when a time has passed, unless the context ends.
func after(ctx context.Context, d time.Duration, do func()) {
	go func() {
		select {
		case <-time.After(d):
			do()
		case <-ctx.Done():
		}
	}()
}

// setAll gives all targets of a service one behavior.
func setAll(list []*target.Target, behavior target.Behavior) {
	for _, t := range list {
		t.Set(behavior)
	}
}
