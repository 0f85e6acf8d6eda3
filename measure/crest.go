package main

import (
	"context"
	"time"

	"filbertmill.example/testbed/load"
)

const (
	// calmShare is the load before a crest, as a share of the capacity.
	calmShare = 0.6
	// surgeFactor is how much higher the load is at the crest.
	surgeFactor = 3
	// calmTime precedes the crest; settleTime of the crest is not counted.
	calmTime   = 3 * time.Second
	settleTime = 2 * time.Second
)

// measureCrest measures lookups through a threefold surge.
func measureCrest(ctx context.Context, b *bench, r *report) error {
	length := pick(b.opts, 6*time.Second, 20*time.Second)
	svc := b.deployment.lookup
	samples := b.run(ctx, svc.stream(
		load.Phase{Duration: calmTime, Rate: calmShare},
		load.Phase{Duration: length, Rate: calmShare * surgeFactor},
	))
	from, to := calmTime+settleTime, calmTime+length
	r.add(b.label, crestGoodput, goodput(svc, samples, from, to))
	crest := load.Select(samples, func(s load.Sample) bool { return s.At >= from && s.At < to })
	refused := load.Select(crest, func(s load.Sample) bool { return s.Last().Result == load.ResultStatus })
	r.add(b.label, refusedP99, milliseconds(load.Quantile(refused, 99, latency)))
	silent := load.Count(refused, func(s load.Sample) bool { return !s.Last().RetryAfter })
	r.add(b.label, noRetryAfter, float64(silent))
	b.addFalse(r, nil)
	addMixedOrCut(b, r, samples)
	return nil
}

// goodput returns the share of the slots' time, between two moments of a run,
// that went to answers which arrived whole and in time.
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
