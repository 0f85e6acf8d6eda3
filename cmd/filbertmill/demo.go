package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/config/static"
	"filbertmill.example/node"
	"filbertmill.example/testbed/target"
)

const (
	demoNodes = 3
	// demoWork is the service time of a demo target's ordinary request.
	demoWork = 20 * time.Millisecond
	// demoSlow is how many times slower the slow target is.
	demoSlow = 5
	// demoFailShare is the share of requests that the gray target fails.
	demoFailShare = 0.3
	// demoDrainDelay keeps the end of the demo short.
	demoDrainDelay = 100 * time.Millisecond
)

// demoCommand runs three nodes and stand-in targets in one process.
type demoCommand struct {
	For time.Duration `arg:"--for" placeholder:"DURATION" help:"end by itself after this time [default: run until interrupted]"`
	Log bool          `arg:"--log" help:"write the nodes' logs to standard error"`
}

// demoTarget is one stand-in of the demo.
type demoTarget struct {
	service  string
	behavior target.Behavior
	note     string
}

// demoTargets returns the demo's stand-ins.
func demoTargets() []demoTarget {
	return []demoTarget{
		{"statusdesk", target.Behavior{}, "healthy"},
		{"statusdesk", target.Behavior{}, "healthy"},
		{"statusdesk", target.Behavior{SlowFactor: demoSlow}, "five times slower than the others"},
		{"statusdesk", target.Behavior{}, "healthy"},
		{"bookings", target.Behavior{}, "healthy"},
		{"bookings", target.Behavior{FailShare: demoFailShare}, "fails three of ten requests, its health endpoint is good"},
		{"bookings", target.Behavior{}, "healthy"},
		{"bookings", target.Behavior{}, "healthy"},
	}
}

func (c *demoCommand) run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	if err := c.demo(ctx); err != nil {
		return report(err)
	}
	return exitOK
}

// demo starts everything, prints what to try, and serves until ctx ends.
func (c *demoCommand) demo(ctx context.Context) error {
	cfg := demoConfig()
	targets, err := startDemoTargets(cfg)
	if err != nil {
		return err
	}
	defer func() {
		for _, t := range targets {
			t.Close()
		}
	}()
	nodes, err := c.startDemoNodes(cfg)
	if err != nil {
		return err
	}
	ended := make(chan error, len(nodes))
	for _, n := range nodes {
		go func() { ended <- n.Run(ctx) }()
	}
	printDemo(os.Stdout, nodes)
	for range nodes {
		err = errors.Join(err, <-ended)
	}
	return err
}

// demoConfig returns the fleet configuration of the demo, without targets.
func demoConfig() *dynamic.Config {
	src := `
[defaults]
slots = 2

[service statusdesk]

[service bookings]

[route status]
prefix = /status
service = statusdesk

[route bookings]
prefix = /bookings
service = bookings
`
	cfg, problems := dynamic.Parse("demo.ini", []byte(src))
	if len(problems) > 0 {
		panic("the demo's configuration is wrong: " + joinProblems(problems).Error())
	}
	return cfg
}

// startDemoTargets starts the stand-ins and lists them in the configuration.
func startDemoTargets(cfg *dynamic.Config) ([]*target.Target, error) {
	var list []*target.Target
	for i, d := range demoTargets() {
		name := d.service + "-" + strconv.Itoa(i+1)
		t, err := target.Start(target.Config{Name: name, Address: "127.0.0.1:0", Work: demoWork, Seed: uint64(i)})
		if err != nil {
			return list, err
		}
		t.Set(d.behavior)
		list = append(list, t)
		cfg.Targets = append(cfg.Targets, dynamic.Target{
			Name: name, Service: d.service, Address: t.Address(), AvailabilityZone: demoZone(i),
		})
		fmt.Printf("target %-14s %s  %s\n", name, t.Address(), d.note)
	}
	return list, nil
}

// demoZone returns the availability zone of the i-th host.
func demoZone(i int) string {
	zones := []string{"kandy", "nuwara", "matale"}
	return zones[i%len(zones)]
}

// startDemoNodes makes the demo's nodes, which know one another as seeds.
func (c *demoCommand) startDemoNodes(cfg *dynamic.Config) ([]*node.Node, error) {
	seeds := make([]static.Seed, demoNodes)
	for i := range seeds {
		addrs, err := freeAddresses(2)
		if err != nil {
			return nil, err
		}
		seeds[i] = static.Seed{
			Name: "node-" + strconv.Itoa(i+1), AvailabilityZone: demoZone(i),
			PeerAddress: addrs[0], ControlAddress: addrs[1],
		}
	}
	var nodes []*node.Node
	for _, seed := range seeds {
		n, err := node.New(demoSettings(seed, seeds), cfg, c.logger(seed.Name))
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// demoSettings returns the settings of one demo node.
func demoSettings(seed static.Seed, seeds []static.Seed) *static.Settings {
	return &static.Settings{
		Name: seed.Name, AvailabilityZone: seed.AvailabilityZone, Region: "demo",
		CallerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
		PeerAddress: seed.PeerAddress, ControlAddress: seed.ControlAddress,
		SharedKey: "demo key, known to everybody", Seeds: seeds,
		DrainDelay: demoDrainDelay, DrainTimeout: 10 * time.Second,
		LogLevel: "info", EventRing: 4096,
	}
}

// logger returns the logger of one demo node.
func (c *demoCommand) logger(name string) hclog.Logger {
	out := io.Discard
	if c.Log {
		out = os.Stderr
	}
	return hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: out, Level: hclog.Info}).With("node", name)
}

// freeAddresses returns loopback addresses that are free now.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		list = append(list, ln.Addr().String())
	}
	return list, nil
}

// printDemo tells what to try.
func printDemo(w io.Writer, nodes []*node.Node) {
	fmt.Fprintln(w)
	for i, n := range nodes {
		fmt.Fprintf(w, "node-%d  callers http://%s  operators http://%s\n", i+1, n.CallerAddress(), n.AdminAddress())
	}
	fmt.Fprintf(w, `
Try:
  curl -i http://%s/status/van-7
  curl -i -X POST -d 'rug 12' http://%s/bookings
  curl -s http://%s/pools
Stop with Ctrl-C.
`, nodes[0].CallerAddress(), nodes[1].CallerAddress(), nodes[0].AdminAddress())
}
