package main

import (
	"context"
	"os"
	"time"

	"filbertmill.example/fleet/control"
	"filbertmill.example/testbed/faultproxy"
	"filbertmill.example/testbed/load"
	"filbertmill.example/testbed/target"
)

const (
	// addedWork is the fixed service time of the requests compared.
	addedWork = 5 * time.Millisecond
	// addedRate is the number of requests a second of each class; no queue forms.
	addedRate = 80
	// idleSettle lets nodes come to rest before their costs are counted.
	idleSettle = 3 * time.Second
	// straightSlots is more than a straight stand-in ever needs.
	straightSlots = 1000
)

// measureIdle measures what nodes cost that have no requests.
func measureIdle(ctx context.Context, b *bench, r *report) error {
	length := pick(b.opts, 3*time.Second, 30*time.Second)
	time.Sleep(idleSettle)
	before := make([]time.Duration, len(b.nodes))
	for i, p := range b.nodes {
		var err error
		if before[i], err = p.cpuTime(); err != nil {
			return err
		}
	}
	bytesBefore := b.controlBytes()
	time.Sleep(length)
	worstCPU, worstRSS := 0.0, 0.0
	for i, p := range b.nodes {
		cpu, err := p.cpuTime()
		if err != nil {
			return err
		}
		rss, err := p.rssMB()
		if err != nil {
			return err
		}
		worstCPU = max(worstCPU, (cpu-before[i]).Seconds()/length.Seconds())
		worstRSS = max(worstRSS, rss)
	}
	r.add(b.label, controlCPU, worstCPU)
	r.add(b.label, nodeRSS, worstRSS)
	r.add(b.label, controlBytes, (b.controlBytes()-bytesBefore)/length.Seconds()/float64(len(b.nodes)))
	return measureTool(ctx, b, r)
}

// controlBytes returns the bytes that all nodes have sent and received for
// control.
func (b *bench) controlBytes() float64 {
	total := 0.0
	for _, p := range b.nodes {
		var vars struct {
			Control control.Counters `json:"control"`
		}
		if p.ask("/debug/vars", &vars) == nil {
			total += float64(vars.Control.SentBytes + vars.Control.ReceivedBytes)
		}
	}
	return total
}

// measureTool measures what the load tool adds by itself: a bare stand-in
// without service time, delays or nodes.
func measureTool(ctx context.Context, b *bench, r *report) error {
	const rate = 500
	bare, err := target.Start(target.Config{Name: "bare", Address: "127.0.0.1:0", Slots: straightSlots})
	if err != nil {
		return err
	}
	defer bare.Close()
	class := load.Class{Name: "bare", Path: "/", AnswerBytes: 2000}
	arrivals := load.Arrivals("tool", b.opts.seed, load.Stream{
		Class: class, Phases: []load.Phase{{Duration: 3 * time.Second, Rate: rate}},
	})
	samples := load.Run(ctx, load.Fixed(b.opts.seed, bare.Address()), arrivals)
	r.add(b.label, toolP99, milliseconds(load.Quantile(samples, 99, latency)))
	return nil
}

// measureAdded compares requests through the fleet with the same requests
// straight to a stand-in, over the same distance to the caller and at the same
// time.
func measureAdded(ctx context.Context, b *bench, r *report) error {
	straight, err := target.Start(target.Config{
		Name: "straight", Address: "127.0.0.1:0", Slots: straightSlots, ConnectTime: target.DefaultConnectTime,
	})
	if err != nil {
		return err
	}
	defer straight.Close()
	ways, closeWays, err := straightWays(straight.Address(), len(b.nodes))
	if err != nil {
		return err
	}
	defer closeWays()

	arrivals := b.addedArrivals()
	compared := make(chan []load.Sample)
	go func() { compared <- load.Run(ctx, load.Fixed(b.opts.seed, ways...), arrivals) }()
	entryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	through := load.Run(ctx, b.entries(entryCtx), arrivals)
	direct := <-compared
	writeTally(os.Stderr, through)
	writeTally(os.Stderr, direct)

	all := b.scenario
	for _, svc := range []service{b.deployment.lookup, b.deployment.booking} {
		b.scenario = all + "/" + svc.name
		of := func(s load.Sample) bool { return s.Class.Name == svc.name }
		t, d := load.Select(through, of), load.Select(direct, of)
		added := func(q float64) float64 {
			return milliseconds(load.Quantile(t, q, answerTime) - load.Quantile(d, q, answerTime))
		}
		r.add(b.label, addedP50, added(50))
		r.add(b.label, addedP90, added(90))
		r.add(b.label, addedP99, added(99))
	}
	b.scenario = all
	addAnswered(b, r, through)
	addMixedOrCut(b, r, through)
	return nil
}

// straightWays returns as many ways to a straight stand-in as there are nodes, so
// that callers open as many connections of their own on either side.
func straightWays(upstream string, n int) (ways []string, closeAll func(), err error) {
	var proxies []*faultproxy.Proxy
	closeAll = func() {
		for _, p := range proxies {
			p.Close()
		}
	}
	for range n {
		p, err := delayed(upstream, clientDelay)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		proxies = append(proxies, p)
		ways = append(ways, p.Address())
	}
	return ways, closeAll, nil
}

// answerTime is a sample's latency, or the caller's whole patience if it got no
// answer, so that losing requests never looks fast.
func answerTime(s load.Sample) time.Duration {
	if s.Good() {
		return s.Latency
	}
	return max(s.Latency, s.Class.Timeout)
}

// addedArrivals draws lookups and bookings of a fixed service time.
func (b *bench) addedArrivals() []load.Arrival {
	// A p99 needs several hundred samples of each class: the first handful meet
	// cold processes.
	length := pick(b.opts, 10*time.Second, 30*time.Second)
	var streams []load.Stream
	for _, svc := range []service{b.deployment.lookup, b.deployment.booking} {
		svc.class.Work = addedWork
		svc.class.Exponential = false
		streams = append(streams, load.Stream{Class: svc.class, Phases: []load.Phase{{Duration: length, Rate: addedRate}}})
	}
	return load.Arrivals("added", b.opts.seed, streams...)
}
