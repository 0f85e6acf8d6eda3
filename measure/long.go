package main

import (
	"context"
	"time"

	"filbertmill.example/testbed/load"
)

const (
	// longLoad is the share of the slots' time that long requests take.
	longLoad = 0.5
	// shortPerLong is how many short requests come with each long one.
	shortPerLong = 9
	// longPatience is how long a caller waits for long work.
	longPatience = 60 * time.Second
)

// measureLong compares the wait of short work with and without long work
// beside it, at the same arrivals of short work.
func measureLong(ctx context.Context, b *bench, r *report) error {
	length := pick(b.opts, 7*time.Second, 40*time.Second)
	svc := b.deployment.batch
	long := svc
	long.class.Name = svc.name + "-long"
	long.class.Path = "/" + svc.name + "/long"
	long.class.Work = longFactor * batchWork
	long.class.Exponential = false
	long.class.Timeout = longPatience

	longs := long.stream(load.Phase{Duration: length, Rate: longLoad})
	shorts := load.Stream{Class: svc.class, Phases: []load.Phase{{Duration: length, Rate: shortPerLong * longs.Phases[0].Rate}}}
	isShort := func(s load.Sample) bool { return s.Class.Name == svc.name }
	isLong := func(s load.Sample) bool { return s.Class.Name == long.class.Name && s.Good() }

	alone := b.run(ctx, shorts)
	mixed := b.send(ctx, "again", shorts, longs)
	waitAlone := load.Quantile(load.Select(alone, isShort), 99, wait)
	waitMixed := load.Quantile(load.Select(mixed, isShort), 99, wait)
	r.add(b.label, shortWaitAlone, milliseconds(waitAlone))
	r.add(b.label, shortWaitMixed, milliseconds(waitMixed))
	r.add(b.label, shortWaitRatio, float64(waitMixed)/float64(max(waitAlone, time.Microsecond)))
	r.add(b.label, longWait, milliseconds(load.Quantile(load.Select(mixed, isLong), 99, wait)))
	b.addFalse(r, nil)
	addAnswered(b, r, mixed)
	addMixedOrCut(b, r, append(alone, mixed...))
	return nil
}
