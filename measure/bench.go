package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/pool"
	"filbertmill.example/testbed/faultproxy"
	"filbertmill.example/testbed/load"
	"filbertmill.example/testbed/process"
	"filbertmill.example/testbed/standin"
	"filbertmill.example/testbed/target"
)

const (
	// drainDelay and drainTimeout are drain settings of the nodes.
	drainDelay   = 2 * time.Second
	drainTimeout = 20 * time.Second
	// balancerInterval is the time between two polls of readiness by the balancer.
	balancerInterval = 250 * time.Millisecond
	// floorInterval is the time between two checks of the floor.
	floorInterval = 100 * time.Millisecond
	// crashTime is how long a crashed target refuses connections.
	crashTime = 2 * time.Second
)

// bench is one deployment in one variant. Targets and fault proxies run in this
// process, nodes in processes of their own.
type bench struct {
	label
	opts       options
	deployment deployment
	dir        string

	platform *standin.Standin
	ledger   *target.Ledger
	targets  map[string][]*target.Target // by service
	nodes    []*node
	// Proxies in front of each node's callers and peers, and of each target.
	callerProxies []*faultproxy.Proxy
	peerProxies   []*faultproxy.Proxy
	targetProxies map[string]*faultproxy.Proxy

	cancel     context.CancelFunc
	watcher    sync.WaitGroup
	mu         sync.Mutex
	violations int // snapshots below the floor
}

// newBench starts a deployment. The caller must close it, also after an error.
func newBench(ctx context.Context, o options, d deployment, variant, scenario string) (*bench, error) {
	b := &bench{
		label: label{scenario: d.name + "/" + scenario, variant: variant, seed: o.seed},
		opts:  o, deployment: d,
		ledger:        target.NewLedger(),
		targets:       make(map[string][]*target.Target),
		targetProxies: make(map[string]*faultproxy.Proxy),
	}
	ctx, b.cancel = context.WithCancel(ctx)
	var err error
	if b.dir, err = makeDir(o, b.scenario+"-"+variant); err != nil {
		return b, err
	}
	addresses, err := b.startTargets()
	if err != nil {
		return b, err
	}
	if b.platform, err = standin.Start("127.0.0.1:0"); err != nil {
		return b, err
	}
	if err := b.publishConfig(ctx, addresses); err != nil {
		return b, err
	}
	if err := b.startNodes(ctx); err != nil {
		return b, err
	}
	b.watcher.Go(func() { b.watchFloor(ctx) })
	return b, nil
}

// close stops everything that the bench started.
func (b *bench) close() {
	b.cancel()
	b.watcher.Wait()
	for _, p := range b.nodes {
		p.close()
	}
	for _, list := range b.targets {
		for _, t := range list {
			t.Close()
		}
	}
	for _, p := range b.targetProxies {
		p.Close()
	}
	for _, p := range append(b.callerProxies, b.peerProxies...) {
		p.Close()
	}
	if b.platform != nil {
		_ = b.platform.Close()
	}
	if b.opts.logs == "" {
		os.RemoveAll(b.dir)
	}
}

// makeDir makes the directory for a bench's files.
func makeDir(o options, name string) (string, error) {
	if o.logs == "" {
		return os.MkdirTemp("", "measure-")
	}
	dir := filepath.Join(o.logs, name)
	return dir, os.MkdirAll(dir, 0o700)
}

// delayed starts a fault proxy with the same delay both ways.
func delayed(upstream string, d time.Duration) (*faultproxy.Proxy, error) {
	p, err := faultproxy.Listen("127.0.0.1:0", upstream)
	if err != nil {
		return nil, err
	}
	p.Set(faultproxy.ToUpstream, faultproxy.Fault{Delay: d})
	p.Set(faultproxy.ToCaller, faultproxy.Fault{Delay: d})
	return p, nil
}

func (b *bench) startTargets() ([]targetAddress, error) {
	var out []targetAddress
	for _, svc := range b.deployment.services() {
		for i := range svc.targets {
			t, err := target.Start(target.Config{
				Name:        fmt.Sprintf("%s-%d", svc.name, i+1),
				Address:     "127.0.0.1:0",
				Slots:       svc.slots,
				Work:        svc.class.Work,
				ProbeTime:   target.DefaultProbeTime,
				ConnectTime: target.DefaultConnectTime,
				CrashFor:    crashTime,
				Seed:        b.opts.seed + uint64(i),
				Ledger:      b.ledger,
			})
			if err != nil {
				return nil, err
			}
			b.targets[svc.name] = append(b.targets[svc.name], t)
			p, err := delayed(t.Address(), zoneDelay)
			if err != nil {
				return nil, err
			}
			b.targetProxies[t.Name()] = p
			out = append(out, targetAddress{t.Name(), svc.name, p.Address(), b.zone(i)})
		}
	}
	return out, nil
}

func (b *bench) zone(i int) string {
	return b.deployment.zones[i%len(b.deployment.zones)]
}

func (b *bench) startNodes(ctx context.Context) error {
	specs, err := process.NewSpecs(b.opts.nodes, b.deployment.zones)
	if err != nil {
		return err
	}
	for i, s := range specs {
		if specs[i].AdvertisedPeers, err = b.proxyNode(s); err != nil {
			return err
		}
	}
	failed := make(chan error, len(specs))
	for _, s := range specs {
		n := &node{binary: b.opts.binary, dir: b.dir, spec: s, settings: s.Settings(specs, nodeSettings(b.platform.URL()))}
		b.nodes = append(b.nodes, n)
		go func() { failed <- n.start(ctx) }()
	}
	for range specs {
		err = errors.CombineErrors(err, <-failed)
	}
	return err
}

// proxyNode starts fault proxies in front of the listeners for callers and for peers
// of a node. It returns the address of the latter.
func (b *bench) proxyNode(s process.Spec) (string, error) {
	callers, err := delayed(s.Callers, clientDelay)
	if err != nil {
		return "", err
	}
	b.callerProxies = append(b.callerProxies, callers)
	peers, err := delayed(s.Peers, zoneDelay)
	if err != nil {
		return "", err
	}
	b.peerProxies = append(b.peerProxies, peers)
	return peers.Address(), nil
}

// balancer returns a load balancer in front of all nodes.
func (b *bench) balancer(ctx context.Context) *load.Balancer {
	list := make([]load.Entry, len(b.nodes))
	for i, p := range b.nodes {
		list[i] = load.Entry{Address: b.callerProxies[i].Address(), ReadyURL: "http://" + p.spec.Admin + "/readyz"}
	}
	return load.NewBalancer(ctx, b.opts.seed, balancerInterval, list...)
}

// run sends the streams' arrivals through the fleet.
func (b *bench) run(ctx context.Context, streams ...load.Stream) []load.Sample {
	return b.runNamed(ctx, "r", streams...)
}

// runNamed is run with a name that becomes part of the requests' ids.
func (b *bench) runNamed(ctx context.Context, name string, streams ...load.Stream) []load.Sample {
	balancerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	samples := load.Run(ctx, b.balancer(balancerCtx), load.Arrivals(name, b.opts.seed, streams...))
	writeTally(os.Stderr, samples)
	return samples
}

// homes returns the indexes of the nodes that have requests of a service queued or
// in flight.
func (b *bench) homes(svc string) []int {
	var out []int
	for i, p := range b.nodes {
		list, err := p.pools()
		if err != nil {
			continue
		}
		for _, s := range list {
			if s.Service == svc && s.Queued+inFlight(s) > 0 {
				out = append(out, i)
			}
		}
	}
	return out
}

func inFlight(s pool.Snapshot) int {
	n := 0
	for _, t := range s.Targets {
		n += t.InFlight
	}
	return n
}

// watchFloor counts snapshots in which ejections leave fewer slots than the floor.
func (b *bench) watchFloor(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range b.nodes {
			list, err := p.pools()
			if err != nil {
				continue
			}
			for _, s := range list {
				b.checkFloor(s)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(floorInterval):
		}
	}
}

func (b *bench) checkFloor(s pool.Snapshot) {
	if !belowFloor(s) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations++
}

// belowFloor reports whether ejections leave fewer slots than the floor. The floor
// is computed here instead of read from the node, so that a wrong floor of the node
// is detected.
func belowFloor(s pool.Snapshot) bool {
	listed, left := 0, 0
	ejected := false
	for _, t := range s.Targets {
		listed += t.Slots
		switch pool.State(t.State) {
		case pool.StateEjected, pool.StateProbation:
			ejected = true
		default:
			left += t.Slots
		}
	}
	return ejected && left < int(math.Ceil(floorShare*float64(listed)))
}

func (b *bench) floorViolations() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.violations
}
