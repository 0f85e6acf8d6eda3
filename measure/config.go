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
	// configWait bounds the wait for one change to be in force on all nodes.
	configWait = 30 * time.Second
	// configIdle is the time over which the store's calls are counted.
	configIdle = 5 * time.Second
	// configStart bounds the start of a fleet.
	configStart = time.Minute
)

// measureConfig measures how long changes take to be in force on all nodes,
// also when a node that watches the store is killed just after acceptance and
// a node restarts, and what the store is asked meanwhile and at rest.
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
	seen := cluster.Follow(followCtx, c.Specs)

	calls := c.Platform.Store.Calls().Total()
	time.Sleep(configIdle)
	r.add(l, storeCalls, float64(c.Platform.Store.Calls().Total()-calls)/configIdle.Seconds())

	longest, err := changes(ctx, o, c, seen)
	if err != nil {
		return err
	}
	r.add(l, configInForce, longest.Seconds())
	r.add(l, revisionsBack, float64(len(seen.Backward())))
	return nil
}

// changes makes changes one after the other, disturbed in turn by the death of
// a watching node and of any node, and returns the longest time to be in force.
func changes(ctx context.Context, o options, c *cluster.Cluster, seen *cluster.Revisions) (time.Duration, error) {
	rng := rand.New(rand.NewPCG(o.seed, 0))
	var longest time.Duration
	for i := range pick(o, 9, 60) {
		doc, err := c.Change(ctx)
		if err != nil {
			return 0, err
		}
		accepted := time.Now()
		killed, err := disturb(ctx, i, c, rng)
		if err != nil {
			return 0, err
		}
		waitCtx, cancel := context.WithTimeout(ctx, configWait)
		took, err := seen.Await(waitCtx, c.Names(), doc.Version.Revision, accepted)
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

// disturb kills a watching node, any node or none, in turn, and returns its name.
func disturb(ctx context.Context, turn int, c *cluster.Cluster, rng *rand.Rand) (string, error) {
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
