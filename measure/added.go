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
	// addedRate is the number of requests per second of each class; at this rate no
	// queue forms.
	addedRate = 80
	// idleSettleTime is how long new nodes run before their idle costs are measured.
	idleSettleTime = 3 * time.Second
	// referenceSlots exceeds the slots that a reference stand-in, which is called
	// without the fleet, ever needs.
	referenceSlots = 1000
)

// measureIdle measures the costs of nodes that have no requests.
func measureIdle(ctx context.Context, b *bench, r *report) error {
	length := quickOrFull(b.opts, 3*time.Second, 30*time.Second)
	time.Sleep(idleSettleTime)
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

// controlBytes returns the bytes that all nodes have sent and received on control
// connections.
func (b *bench) controlBytes() float64 {
	total := 0.0
	for _, p := range b.nodes {
		var vars struct {
			Control control.Counters `json:"control"`
		}
		if p.getJSON("/debug/vars", &vars) == nil {
			total += float64(vars.Control.SentBytes + vars.Control.ReceivedBytes)
		}
	}
	return total
}

// measureTool measures the latency that the load tool itself adds, with a stand-in
// without service time, delays or nodes.
func measureTool(ctx context.Context, b *bench, r *report) error {
	const rate = 500
	bare, err := target.Start(target.Config{Name: "bare", Address: "127.0.0.1:0", Slots: referenceSlots})
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

// measureAdded compares requests through the fleet with the same requests sent
// directly to a reference stand-in. Both are sent at the same time and with the same
// delay to the caller.
func measureAdded(ctx context.Context, b *bench, r *report) error {
	reference, err := target.Start(target.Config{
		Name: "straight", Address: "127.0.0.1:0", Slots: referenceSlots, ConnectTime: target.DefaultConnectTime,
	})
	if err != nil {
		return err
	}
	defer reference.Close()
	addresses, closeProxies, err := referenceProxies(reference.Address(), len(b.nodes))
	if err != nil {
		return err
	}
	defer closeProxies()

	arrivals := b.addedArrivals()
	compared := make(chan []load.Sample)
	go func() { compared <- load.Run(ctx, load.Fixed(b.opts.seed, addresses...), arrivals) }()
	entryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	through := load.Run(ctx, b.balancer(entryCtx), arrivals)
	direct := <-compared
	writeTally(os.Stderr, through)
	writeTally(os.Stderr, direct)

	all := b.scenario
	for _, svc := range []service{b.deployment.lookup, b.deployment.booking} {
		b.scenario = all + "/" + svc.name
		of := func(s load.Sample) bool { return s.Class.Name == svc.name }
		t, d := load.Select(through, of), load.Select(direct, of)
		added := func(q float64) float64 {
			return milliseconds(load.Quantile(t, q, penalizedLatency) - load.Quantile(d, q, penalizedLatency))
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

// referenceProxies starts as many proxies in front of the reference stand-in as
// there are nodes, so that callers open as many connections on either side. It
// returns their addresses.
func referenceProxies(upstream string, n int) (addresses []string, closeAll func(), err error) {
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
		addresses = append(addresses, p.Address())
	}
	return addresses, closeAll, nil
}

// penalizedLatency returns a sample's latency. For a request without a good answer
// it is at least the time that the caller would have waited, so that losing requests
// never looks fast.
func penalizedLatency(s load.Sample) time.Duration {
	if s.Good() {
		return s.Latency
	}
	return max(s.Latency, s.Class.Timeout)
}

// addedArrivals draws lookups and bookings of a fixed service time.
func (b *bench) addedArrivals() []load.Arrival {
	// A p99 needs several hundred samples of each class, since the first few reach
	// cold processes.
	length := quickOrFull(b.opts, 10*time.Second, 30*time.Second)
	var streams []load.Stream
	for _, svc := range []service{b.deployment.lookup, b.deployment.booking} {
		svc.class.Work = addedWork
		svc.class.Exponential = false
		streams = append(streams, load.Stream{Class: svc.class, Phases: []load.Phase{{Duration: length, Rate: addedRate}}})
	}
	return load.Arrivals("added", b.opts.seed, streams...)
}
