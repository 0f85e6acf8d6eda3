// Command fleetscale measures how the nodes of a fleet act together: the time until
// a change is in force on all nodes, the cost of control by fleet size, and the
// recovery from the loss of a home and of an availability zone. It starts real node
// processes and a stand-in of the platform on this machine.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"filbertmill.example/filbertmill/internal/cluster"
	"filbertmill.example/testbed/process"
)

// zones are the availability zones of the measured fleets.
var zones = []string{"kandy", "nuwara", "matale", "badulla"}

const (
	services     = 8
	targetsEach  = 4
	targetWork   = 5 * time.Millisecond
	startTimeout = 2 * time.Minute
)

type args struct {
	Sizes   []int         `arg:"--sizes" help:"fleet sizes for the slopes [default: 6 12 24 48]"`
	Changes int           `arg:"--changes" default:"200" help:"changes of configuration with faults, at the largest size"`
	Idle    time.Duration `arg:"--idle" default:"30s" help:"time over which the cost of control is counted"`
	NoCosts bool          `arg:"--no-costs" help:"leave out the costs at each size"`
	Losses  int           `arg:"--losses" default:"5" help:"homes crashed and paused, one after another"`
}

func main() {
	a := args{Sizes: []int{6, 12, 24, 48}}
	arg.MustParse(&a)
	if err := run(context.Background(), a); err != nil {
		fmt.Fprintln(os.Stderr, "fleetscale:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, a args) error {
	dir, err := os.MkdirTemp("", "fleetscale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := process.Build(dir)
	if err != nil {
		return err
	}
	if !a.NoCosts {
		if err := measureCosts(ctx, bin, dir, a); err != nil {
			return err
		}
	}
	largest := a.Sizes[len(a.Sizes)-1]
	if err := withCluster(ctx, bin, dir, largest, func(c *cluster.Cluster) error {
		return measureFaults(ctx, c, a.Changes)
	}); err != nil {
		return err
	}
	return withCluster(ctx, bin, dir, largest, func(c *cluster.Cluster) error {
		return measureLosses(ctx, c, a.Losses)
	})
}

// withCluster starts a fleet of n nodes, calls fn and stops the fleet.
func withCluster(ctx context.Context, bin, dir string, n int, fn func(*cluster.Cluster) error) error {
	dir, err := os.MkdirTemp(dir, "fleet-")
	if err != nil {
		return err
	}
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c, err := cluster.Start(starting, cluster.Options{
		Binary: bin, Dir: dir, Nodes: n, Zones: zones,
		Services: services, TargetsEach: targetsEach, Work: targetWork,
	})
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return err
	}
	return fn(c)
}
