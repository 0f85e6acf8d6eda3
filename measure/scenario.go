package main

import (
	"context"
	"time"

	"filbertmill.example/testbed/load"
	"filbertmill.example/testbed/target"
)

// scenario is a workload, with or without faults, that is run against a deployment.
type scenario struct {
	name string
	// quickOnce limits the scenario to the first deployment in a quick run.
	quickOnce bool
	run       func(ctx context.Context, b *bench, r *report) error
	// runNodesOnly replaces run in scenarios without callers, which are measured in
	// the home variant only.
	runNodesOnly func(ctx context.Context, o options, d deployment, l label, r *report) error
}

// scenarios returns all scenarios in the order in which they run.
func scenarios() []scenario {
	return []scenario{
		{name: "idle", quickOnce: true, run: measureIdle},
		{name: "config", quickOnce: true, runNodesOnly: measureConfig},
		{name: "added", run: measureAdded},
		{name: "crest", run: measurePeak},
		{name: "gray_crest", quickOnce: true, run: measureGrayPeak},
		{name: "gray_low", quickOnce: true, run: measureGrayLow},
		{name: "many_gray", quickOnce: true, run: measureManyGray},
		{name: "healthy", quickOnce: true, run: measureHealthy},
		{name: "long", quickOnce: true, run: measureLong},
		{name: "odd_answers", quickOnce: true, run: measureOddAnswers},
		{name: "drain", quickOnce: true, run: measureDrain},
		{name: "bookings", quickOnce: true, run: measureBookings},
	}
}

// latency returns a sample's latency, for load.Quantile.
func latency(s load.Sample) time.Duration { return s.Latency }

// wait returns a sample's wait, for load.Quantile.
func wait(s load.Sample) time.Duration { return s.Wait() }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// addMixedOrCut adds the number of answers that callers took as complete although
// they were mixed up or cut.
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

// addAnswered adds the share of requests that were answered completely and in time.
func addAnswered(b *bench, r *report, samples []load.Sample) {
	r.add(b.label, answeredRatio, ratio(load.Count(samples, load.Sample.Good), len(samples)))
}

// after calls do once a time has passed, unless the context ends before.
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
