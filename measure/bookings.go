package main

import (
	"context"
	"time"

	"filbertmill.example/testbed/faultproxy"
	"filbertmill.example/testbed/load"
	"filbertmill.example/testbed/target"
)

const (
	// bookingShare is the load of bookings, as a share of the capacity.
	bookingShare = 0.4
	// bookingResends is how often a caller sends again that cannot know.
	bookingResends = 2
	// faultTime is how long each fault of a cycle lasts.
	faultTime = time.Second
	// cycleTime is the length of one cycle of faults.
	cycleTime = 10 * time.Second
)

// measureBookings sends bookings with an Idempotency-Key while homes crash and
// pause, links fail one way, and targets crash and fail.
func measureBookings(ctx context.Context, b *bench, r *report) error {
	cycles := pick(b.opts, 1, 8)
	svc := b.deployment.booking
	svc.class.Keyed = true
	svc.class.Resends = bookingResends
	stream := svc.stream(load.Phase{Duration: time.Duration(cycles) * cycleTime, Rate: bookingShare})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		var err error
		for range cycles {
			if err = b.bookingFaults(ctx, svc); err != nil {
				break
			}
		}
		failed <- err
	}()
	samples := b.run(ctx, stream)
	if err := <-failed; err != nil {
		return err
	}
	r.add(b.label, bookingsSent, float64(len(samples)))
	unknown := load.Count(samples, func(s load.Sample) bool { return s.Last().Outcome == "unknown" || s.Last().Status == 0 })
	r.add(b.label, bookingsUnknown, float64(unknown))
	b.addRuns(r, samples)
	addAnswered(b, r, samples)
	addMixedOrCut(b, r, samples)
	return nil
}

// bookingFaults brings about one cycle of faults.
func (b *bench) bookingFaults(ctx context.Context, svc service) error {
	list := b.targets[svc.name]
	list[0].Set(target.Behavior{FailShare: 0.2})
	time.Sleep(faultTime)
	list[0].Set(target.Behavior{})
	list[1].Crash()

	home := b.home(svc)
	b.nodes[home].close()
	time.Sleep(faultTime)
	if err := b.nodes[home].start(ctx); err != nil {
		return err
	}
	time.Sleep(faultTime)

	home = b.home(svc)
	_ = b.nodes[home].process().Pause()
	time.Sleep(faultTime)
	_ = b.nodes[home].process().Resume()
	time.Sleep(faultTime)

	for _, d := range []faultproxy.Direction{faultproxy.ToCaller, faultproxy.ToUpstream} {
		b.cutOneWay(b.peerProxies[b.home(svc)], d)
		b.cutOneWay(b.targetProxies[list[2].Name()], d)
	}
	return nil
}

// cutOneWay loses the bytes of one direction for a while, then cuts the
// connections, as a peer's kernel would.
func (b *bench) cutOneWay(p *faultproxy.Proxy, d faultproxy.Direction) {
	f := p.Fault(d)
	p.Set(d, faultproxy.Fault{Delay: f.Delay, BlackHole: true})
	time.Sleep(faultTime)
	p.Set(d, f)
	p.Cut()
}

// home returns a node that runs a service's work, or the first.
func (b *bench) home(svc service) int {
	if list := b.homes(svc.name); len(list) > 0 {
		return list[0]
	}
	return 0
}

// addRuns compares what callers were told with what targets ran.
func (b *bench) addRuns(r *report, samples []load.Sample) {
	twice, fleet, untrue := 0, 0, 0
	for _, s := range samples {
		runs := b.ledger.Runs(s.ID)
		if s.Class.Name == b.deployment.booking.name && len(runs) > 1 {
			twice++
			if repeated(runs) {
				fleet++
			}
		}
		if toldNotRun(s, runs) {
			untrue++
		}
	}
	r.add(b.label, runsTwice, float64(twice))
	r.add(b.label, runsTwiceFleet, float64(fleet))
	r.add(b.label, falseNotRun, float64(untrue))
}

// repeated says that one sending of the caller was run more than once.
func repeated(runs []target.Run) bool {
	seen := make(map[int]bool)
	for _, run := range runs {
		if seen[run.Attempt] {
			return true
		}
		seen[run.Attempt] = true
	}
	return false
}

// toldNotRun says that a caller was told of an attempt that it was not run,
// although a target ran it.
func toldNotRun(s load.Sample, runs []target.Run) bool {
	for i, at := range s.Attempts {
		if at.Outcome != "not-run" {
			continue
		}
		for _, run := range runs {
			if run.Attempt == i+1 {
				return true
			}
		}
	}
	return false
}
