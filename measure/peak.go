package main

import (
	"context"
	"time"

	"filbertmill.example/testbed/load"
)

const (
	// calmShare is the load before the load peak, as a share of the capacity.
	calmShare = 0.6
	// surgeFactor is the ratio of the load at the peak to that before.
	surgeFactor = 3
	// calmTime is the time before the peak. settleTime is the first part of the
	// peak, which is not counted.
	calmTime   = 3 * time.Second
	settleTime = 2 * time.Second
)

// measurePeak measures lookups during a load peak (scenario crest) of three times
// the load before.
func measurePeak(ctx context.Context, b *bench, r *report) error {
	length := quickOrFull(b.opts, 6*time.Second, 20*time.Second)
	svc := b.deployment.lookup
	samples := b.run(ctx, svc.stream(
		load.Phase{Duration: calmTime, Rate: calmShare},
		load.Phase{Duration: length, Rate: calmShare * surgeFactor},
	))
	from, to := calmTime+settleTime, calmTime+length
	r.add(b.label, peakGoodput, goodput(svc, samples, from, to))
	crest := load.Select(samples, func(s load.Sample) bool { return s.At >= from && s.At < to })
	refused := load.Select(crest, func(s load.Sample) bool { return s.Last().Result == load.ResultStatus })
	r.add(b.label, refusedP99, milliseconds(load.Quantile(refused, 99, latency)))
	silent := load.Count(refused, func(s load.Sample) bool { return !s.Last().RetryAfter })
	r.add(b.label, noRetryAfter, float64(silent))
	b.addFalseDecisions(r, nil)
	addMixedOrCut(b, r, samples)
	return nil
}

// goodput returns the share of the slots' time, between two times of a run, that was
// used for answers that arrived complete and in time.
func goodput(svc service, samples []load.Sample, from, to time.Duration) float64 {
	var used time.Duration
	for _, s := range samples {
		if end := s.At + s.Latency; s.Good() && end >= from && end < to {
			used += s.Work
		}
	}
	slots := svc.targets * svc.slots
	return used.Seconds() / (float64(slots) * (to - from).Seconds())
}
