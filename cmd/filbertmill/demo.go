package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/node"
	"filbertmill.example/testbed/standin"
	"filbertmill.example/testbed/target"
)

// demoCommand runs a platform in memory, three nodes and stand-in targets in
// one process.
type demoCommand struct {
	For time.Duration `arg:"--for" placeholder:"DURATION" help:"end by itself after this time [default: run until interrupted]"`
	Log bool          `arg:"--log" help:"write the nodes' logs to standard error"`
}

func (c *demoCommand) run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	logs := io.Discard
	if c.Log {
		logs = os.Stderr
	}
	d, err := newDemo(ctx, logs)
	defer d.close()
	if err != nil {
		return report(err)
	}
	d.print(os.Stdout)
	if err := d.run(ctx); err != nil {
		return report(err)
	}
	return exitOK
}

// demo holds the platform, the targets and the nodes that the demo runs.
type demo struct {
	platform *standin.Standin
	targets  []*target.Target
	nodes    []*node.Node
}

// newDemo starts the targets and the platform, publishes the configuration in the
// store, and creates the nodes. The caller must close the demo, also after an error.
func newDemo(ctx context.Context, logs io.Writer) (*demo, error) {
	d := &demo{}
	cfg := demoConfig()
	if err := d.startTargets(cfg); err != nil {
		return d, err
	}
	if err := d.startPlatform(ctx, cfg); err != nil {
		return d, err
	}
	return d, d.makeNodes(logs)
}

// run runs the nodes until ctx ends.
func (d *demo) run(ctx context.Context) error {
	ended := make(chan error, len(d.nodes))
	for _, n := range d.nodes {
		go func() { ended <- n.Run(ctx) }()
	}
	var err error
	for range d.nodes {
		err = errors.Join(err, <-ended)
	}
	return err
}

// close closes the targets and the platform.
func (d *demo) close() {
	for _, t := range d.targets {
		t.Close()
	}
	if d.platform != nil {
		_ = d.platform.Close()
	}
}
