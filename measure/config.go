package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"filbertmill.example/filbertmill/internal/cluster"
)

const (
	// configTimeout limits the wait for one change to be in force on all nodes.
	configTimeout = 30 * time.Second
	// configIdle is the time over which the calls to an idle fleet's store are
	// counted.
	configIdle = 5 * time.Second
	// configStart limits the time in which the fleet must start.
	configStart = time.Minute
)

// measureConfig measures the time until changes are in force on all nodes. After
// some changes it kills a node that watches the store, or any node, and restarts it.
// It also measures the calls to the store at rest.
func measureConfig(ctx context.Context, o options, d deployment, l label, r *report) error {
	dir, err := makeDir(o, l.scenario)
	if err != nil {
		return err
	}
	if o.logs == "" {
		defer os.RemoveAll(dir)
	}
	start, cancel := context.WithTimeout(ctx, configStart)
	defer cancel()
	c, err := cluster.Start(start, cluster.Options{
		Binary: o.binary, Dir: dir, Nodes: o.nodes, Zones: d.zones, Services: 3, TargetsEach: 2,
	})
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return err
	}
	followCtx, stop := context.WithCancel(ctx)
	defer stop()
	revisions := cluster.Follow(followCtx, c.Specs)

	calls := c.Platform.Store.Calls().Total()
	time.Sleep(configIdle)
	r.add(l, storeCalls, float64(c.Platform.Store.Calls().Total()-calls)/configIdle.Seconds())

	longest, err := applyChanges(ctx, o, c, revisions)
	if err != nil {
		return err
	}
	r.add(l, configInForce, longest.Seconds())
	r.add(l, revisionRegressions, float64(len(revisions.Backward())))
	return nil
}

// applyChanges makes changes one after the other and returns the longest time until
// one was in force. In turn, a watching node, any node or none is killed just after
// acceptance.
func applyChanges(ctx context.Context, o options, c *cluster.Cluster, revisions *cluster.Revisions) (time.Duration, error) {
	rng := rand.New(rand.NewPCG(o.seed, 0))
	var longest time.Duration
	for i := range quickOrFull(o, 9, 60) {
		doc, err := c.Change(ctx)
		if err != nil {
			return 0, err
		}
		accepted := time.Now()
		killed, err := killInTurn(ctx, i, c, rng)
		if err != nil {
			return 0, err
		}
		waitCtx, cancel := context.WithTimeout(ctx, configTimeout)
		took, err := revisions.Await(waitCtx, c.Names(), doc.Version.Revision, accepted)
		cancel()
		if err != nil {
			return 0, err
		}
		fmt.Fprintf(os.Stderr, "  revision %d in force on all after %v, killed: %q\n", doc.Version.Revision, took, killed)
		longest = max(longest, took)
		if killed == "" {
			continue
		}
		if err := c.StartNode(c.Index(killed)); err != nil {
			return 0, err
		}
	}
	return longest, nil
}

// killInTurn kills a watching node, any node or none, in turn. It returns the name
// of the killed node.
func killInTurn(ctx context.Context, turn int, c *cluster.Cluster, rng *rand.Rand) (string, error) {
	var from []string
	var err error
	switch turn % 3 {
	case 1:
		from, err = c.Watchers(ctx)
	case 2:
		from = c.Names()
	}
	if err != nil || len(from) == 0 {
		return "", err
	}
	slices.Sort(from)
	name := from[rng.IntN(len(from))]
	c.Kill(name)
	return name, nil
}
