package main

import (
	"context"
	"slices"
	"time"

	"filbertmill.example/testbed/load"
	"filbertmill.example/testbed/target"
)

const (
	// drainShare is the load during restarts, as a share of the capacity.
	drainShare = 0.4
	// leavingGrace is how long a leaving target may get new work.
	leavingGrace = 3 * time.Second
	// restartPause separates two restarts.
	restartPause = 500 * time.Millisecond
	// oddShare is the share of each kind of odd answer.
	oddShare = 0.05
	// oddLate is how late late answers are: after their callers have left.
	oddLate = 1500 * time.Millisecond
)

// measureDrain restarts nodes one by one, homes first, and has a target leave,
// under load.
func measureDrain(ctx context.Context, b *bench, r *report) error {
	restarts := pick(b.opts, 3, 12)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	svcs := []service{b.deployment.lookup, b.deployment.booking}
	const longest = 10 * time.Minute // the restarts end the load
	var streams []load.Stream
	for _, svc := range svcs {
		streams = append(streams, svc.stream(load.Phase{Duration: longest, Rate: drainShare}))
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	failed := make(chan error, 1)
	go func() {
		defer stopLoad()
		failed <- b.restartNodes(ctx, restarts, svcs)
	}()
	samples := b.run(loadCtx, streams...)
	if err := <-failed; err != nil {
		return err
	}
	cut, refused := 0, 0
	for _, s := range samples {
		switch last := s.Last(); {
		case last.Result == load.ResultStatus && last.Outcome == "not-run":
			refused++
		case last.Result != load.ResultComplete:
			cut++
		}
	}
	r.add(b.label, cutOnDrain, float64(cut))
	r.add(b.label, refusedOnDrain, float64(refused))
	r.add(b.label, lateWork, float64(b.countLateWork()))
	addAnswered(b, r, samples)
	addMixedOrCut(b, r, samples)
	return nil
}

// restartNodes restarts nodes gracefully; a target leaves at the beginning.
func (b *bench) restartNodes(ctx context.Context, n int, svcs []service) error {
	time.Sleep(time.Second)
	b.targets[svcs[0].name][0].Leave()
	var order []int
	for _, svc := range svcs {
		order = append(order, b.homes(svc.name)...)
	}
	for i := range b.nodes {
		order = append(order, i)
	}
	var done []int
	for _, i := range order {
		if slices.Contains(done, i) || len(done) == n {
			continue
		}
		done = append(done, i)
		if err := b.nodes[i].drain(); err != nil {
			return err
		}
		if err := b.nodes[i].start(ctx); err != nil {
			return err
		}
		time.Sleep(restartPause)
	}
	return nil
}

func (b *bench) countLateWork() int {
	n := 0
	for _, run := range b.ledger.All() {
		if run.SinceLeaving > leavingGrace {
			n++
		}
	}
	return n
}

// measureOddAnswers has all targets of two services give truncated, doubled
// and late answers.
func measureOddAnswers(ctx context.Context, b *bench, r *report) error {
	length := pick(b.opts, 6*time.Second, 30*time.Second)
	var streams []load.Stream
	for _, svc := range []service{b.deployment.lookup, b.deployment.booking} {
		for i, t := range b.targets[svc.name] {
			t.Set(target.Behavior{
				TruncateShare:   oddShare,
				TruncateChunked: i%2 == 0,
				DoubleShare:     oddShare,
				LateShare:       oddShare,
				LateBy:          oddLate,
			})
		}
		streams = append(streams, svc.stream(load.Phase{Duration: length, Rate: drainShare}))
	}
	samples := b.run(ctx, streams...)
	addMixedOrCut(b, r, samples)
	addAnswered(b, r, samples)
	b.addRuns(r, samples)
	return nil
}
