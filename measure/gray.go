package main

import (
	"context"
	"slices"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/testbed/load"
	"filbertmill.example/testbed/target"
)

const (
	// grayFailShare and graySlowFactor are the stated gray faults.
	grayFailShare  = 0.3
	graySlowFactor = 5
	// grayOnset is when targets turn gray.
	grayOnset = 3 * time.Second
	// grayCrestShare and grayLowShare are loads as shares of the capacity.
	grayCrestShare = 1.2
	grayLowShare   = 0.2
	// grayTarget is the index of the target that turns gray.
	grayTarget = 2
)

// grayCase is one target that turns gray.
type grayCase struct {
	name     string
	service  service
	behavior target.Behavior
}

func (b *bench) grayCases() []grayCase {
	return []grayCase{
		{"failing", b.deployment.lookup, target.Behavior{FailShare: grayFailShare}},
		{"slow", b.deployment.booking, target.Behavior{SlowFactor: graySlowFactor}},
	}
}

// turnGray runs load on the services of the cases and turns a target of each
// gray at grayOnset. It returns when that was.
func (b *bench) turnGray(ctx context.Context, share float64, length time.Duration, r *report) time.Time {
	var streams []load.Stream
	for _, c := range b.grayCases() {
		streams = append(streams, c.service.stream(load.Phase{Duration: grayOnset + length, Rate: share}))
	}
	onset := time.Now().Add(grayOnset)
	after(ctx, grayOnset, func() {
		for _, c := range b.grayCases() {
			b.targets[c.service.name][grayTarget].Set(c.behavior)
		}
	})
	samples := b.run(ctx, streams...)
	addAnswered(b, r, samples)
	addMixedOrCut(b, r, samples)
	return onset
}

// measureGrayCrest measures the time to detect gray targets at a crest. A
// target that is not detected counts as detected at the end of the run.
func measureGrayCrest(ctx context.Context, b *bench, r *report) error {
	length := pick(b.opts, 6*time.Second, 20*time.Second)
	onset := b.turnGray(ctx, grayCrestShare, length, r)
	all := b.scenario
	for _, c := range b.grayCases() {
		b.scenario = all + "/" + c.name
		r.add(b.label, detection, b.outOfService(c, onset, length).Seconds())
	}
	b.scenario = all
	b.addFalse(r, b.grayCases())
	return nil
}

// measureGrayLow measures how many requests a gray target takes at low load
// until it is detected.
func measureGrayLow(ctx context.Context, b *bench, r *report) error {
	length := pick(b.opts, 8*time.Second, 30*time.Second)
	onset := b.turnGray(ctx, grayLowShare, length, r)
	all := b.scenario
	for _, c := range b.grayCases() {
		b.scenario = all + "/" + c.name
		name := b.grayName(c)
		until := b.outAt(name, onset)
		n := 0
		for _, run := range b.ledger.All() {
			if run.Target == name && run.Start.After(onset) && (until.IsZero() || run.Start.Before(until)) {
				n++
			}
		}
		r.add(b.label, detectionLow, float64(n))
	}
	b.scenario = all
	b.addFalse(r, b.grayCases())
	return nil
}

func (b *bench) grayName(c grayCase) string { return b.targets[c.service.name][grayTarget].Name() }

// outShare is the share of its healthy peers' work below which a target counts
// as out of normal service; a target five times slower gets a fifth by itself.
const outShare = 0.1

// outWindow is the time over which the shares are compared.
const outWindow = time.Second

// outOfService returns how long after onset the nodes had taken a target out of
// normal service and it got no more of its share of work, or limit if never.
func (b *bench) outOfService(c grayCase, onset time.Time, limit time.Duration) time.Duration {
	out := b.outAt(b.grayName(c), onset)
	if out.IsZero() {
		return limit
	}
	after := out.Sub(onset)
	return after + workStops(b.ledger.All(), b.grayName(c), b.peers(c), out, limit-after)
}

// workStops returns how long after since the target's share of work fell below
// outShare for outWindow, or limit if it did not.
func workStops(runs []target.Run, name string, peers []string, since time.Time, limit time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	for at := time.Duration(0); at+outWindow <= limit; at += step {
		from := since.Add(at)
		to := from.Add(outWindow)
		own, others := 0, 0
		for _, run := range runs {
			if run.Start.Before(from) || !run.Start.Before(to) {
				continue
			}
			switch {
			case run.Target == name:
				own++
			case slices.Contains(peers, run.Target):
				others++
			}
		}
		if float64(own*len(peers)) <= outShare*float64(others) {
			return at
		}
	}
	return limit
}

// peers returns the names of the other targets of a case's service.
func (b *bench) peers(c grayCase) []string {
	var out []string
	for _, t := range b.targets[c.service.name] {
		if t.Name() != b.grayName(c) {
			out = append(out, t.Name())
		}
	}
	return out
}

// manyGrayInterval separates the targets that turn gray one after the other, so
// that each stands out from its peers while the floor is reached.
const manyGrayInterval = 1500 * time.Millisecond

// measureManyGray turns three of four targets gray one after the other, so that
// the floor binds.
func measureManyGray(ctx context.Context, b *bench, r *report) error {
	svc := b.deployment.lookup
	list := b.targets[svc.name]
	gray := list[:len(list)*3/4]
	for i, t := range gray {
		after(ctx, grayOnset+time.Duration(i)*manyGrayInterval, func() { t.Set(target.Behavior{FailShare: 0.9}) })
	}
	length := grayOnset + time.Duration(len(gray))*manyGrayInterval + pick(b.opts, time.Second, 20*time.Second)
	samples := b.run(ctx, svc.stream(load.Phase{Duration: length, Rate: calmShare}))
	r.add(b.label, floorHeld, float64(len(b.decisions(event.KindFloorHeld))))
	addAnswered(b, r, samples)
	addMixedOrCut(b, r, samples)
	return nil
}

// measureHealthy counts ejections of healthy targets: while it is quiet, while
// all targets are slow alike, and at a crest.
func measureHealthy(ctx context.Context, b *bench, r *report) error {
	phase := pick(b.opts, 3*time.Second, 20*time.Second)
	const commonSlowness = 3
	var streams []load.Stream
	for _, svc := range b.deployment.services() {
		streams = append(streams, svc.stream(
			load.Phase{Duration: phase, Rate: 0.3},
			load.Phase{Duration: phase, Rate: 0.3},
			load.Phase{Duration: phase, Rate: 0.9},
		))
	}
	for _, list := range b.targets {
		after(ctx, phase, func() { setAll(list, target.Behavior{SlowFactor: commonSlowness}) })
		after(ctx, 2*phase, func() { setAll(list, target.Behavior{}) })
	}
	samples := b.run(ctx, streams...)
	b.addFalse(r, nil)
	addAnswered(b, r, samples)
	addMixedOrCut(b, r, samples)
	return nil
}
