package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/filbertmill/internal/cluster"
)

const (
	changeTimeout = time.Minute
	// faultEvery is the number of changes from one fault to the next.
	faultEvery = 10
	// pauseTime is how long a node is suspended.
	pauseTime = 8 * time.Second
)

// changer makes changes and records the time until each is in force.
type changer struct {
	fleet     *cluster.Cluster
	revisions *cluster.Revisions
	newest    int64
	times     []time.Duration
}

// change publishes a change, injects the fault just after its acceptance, and waits
// until it is in force on all nodes that still run.
func (c *changer) change(ctx context.Context, fault func() ([]string, error)) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	d, err := c.fleet.Change(ctx)
	if err != nil {
		return err
	}
	accepted := time.Now()
	c.newest = d.Version.Revision
	names := c.fleet.Names()
	if fault != nil {
		if names, err = fault(); err != nil {
			return err
		}
	}
	took, err := c.revisions.Await(ctx, names, c.newest, accepted)
	c.times = append(c.times, took)
	return err
}

// medianAndLongest returns the median and the longest of the recorded times.
func (c *changer) medianAndLongest() (median, longest time.Duration) {
	sorted := slices.Sorted(slices.Values(c.times))
	return sorted[len(sorted)/2], sorted[len(sorted)-1]
}

// measureChanges times some changes without faults.
func measureChanges(ctx context.Context, f *cluster.Cluster, changes int) (median, longest time.Duration, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &changer{fleet: f, revisions: cluster.Follow(ctx, f.Specs)}
	for range changes {
		if err := c.change(ctx, nil); err != nil {
			return 0, 0, err
		}
	}
	median, longest = c.medianAndLongest()
	return median, longest, nil
}

// measureFaults makes changes while nodes are killed, suspended and restarted and
// the store returns to an older copy. It reports nodes that went back to a lower
// revision.
func measureFaults(ctx context.Context, f *cluster.Cluster, changes int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &changer{fleet: f, revisions: cluster.Follow(ctx, f.Specs)}
	before := &changer{fleet: f, revisions: c.revisions}
	after := &changer{fleet: f, revisions: c.revisions}
	for i := range changes {
		var err error
		switch i % (3 * faultEvery) {
		case faultEvery / 2:
			err = before.killWatchersBefore(ctx)
		case faultEvery:
			err = after.killWatchersAfter(ctx)
		case 2 * faultEvery:
			err = c.pauseOne(ctx, i)
		case 3*faultEvery - 1:
			err = c.restoreStore(ctx, i)
		default:
			err = c.change(ctx, nil)
		}
		if err != nil {
			return errors.Wrapf(err, "change %d", i)
		}
	}
	median, longest := c.medianAndLongest()
	fmt.Printf("%d changes with faults on %d nodes: in force on all: median %v, longest %v; reports of a lower revision: %d\n",
		changes, len(f.Nodes), median.Round(time.Millisecond), longest.Round(time.Millisecond), len(c.revisions.Backward()))
	before.print("all watching nodes killed just before acceptance")
	after.print("all watching nodes killed just after acceptance")
	for _, line := range c.revisions.Backward() {
		fmt.Println("  ", line)
	}
	return nil
}

// print prints the times of changes under one kind of fault.
func (c *changer) print(fault string) {
	if len(c.times) == 0 {
		return
	}
	median, longest := c.medianAndLongest()
	fmt.Printf("  with %s, %d times: median %v, longest %v\n",
		fault, len(c.times), median.Round(time.Millisecond), longest.Round(time.Millisecond))
}

// killWatchersBefore kills all watching nodes and makes a change before any other
// node can have detected it.
func (c *changer) killWatchersBefore(ctx context.Context) error {
	watchers, err := c.fleet.Watchers(ctx)
	if err != nil {
		return err
	}
	for _, name := range watchers {
		c.fleet.Kill(name)
	}
	if err := c.change(ctx, nil); err != nil {
		return err
	}
	return c.restart(ctx, watchers)
}

// killWatchersAfter makes a change, kills all watching nodes at its acceptance, and
// restarts them.
func (c *changer) killWatchersAfter(ctx context.Context) error {
	watchers, err := c.fleet.Watchers(ctx)
	if err != nil {
		return err
	}
	err = c.change(ctx, func() ([]string, error) {
		for _, name := range watchers {
			c.fleet.Kill(name)
		}
		return c.fleet.Names(), nil
	})
	if err != nil {
		return err
	}
	return c.restart(ctx, watchers)
}

func (c *changer) restart(ctx context.Context, names []string) error {
	for _, name := range names {
		if err := c.fleet.RestartNode(ctx, c.fleet.Index(name)); err != nil {
			return err
		}
	}
	return nil
}

// pauseOne makes a change while a node is suspended. After resuming it, it waits
// until the node has the change.
func (c *changer) pauseOne(ctx context.Context, i int) error {
	n := c.fleet.Nodes[c.fleet.Specs[i%len(c.fleet.Specs)].Name]
	if err := n.Pause(); err != nil {
		return err
	}
	err := c.change(ctx, func() ([]string, error) {
		names := c.fleet.Names()
		return slices.DeleteFunc(names, func(name string) bool { return name == n.Spec.Name }), nil
	})
	if err != nil {
		return err
	}
	time.Sleep(pauseTime)
	if err := n.Resume(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	took, err := c.revisions.Await(ctx, []string{n.Spec.Name}, c.newest, time.Now())
	fmt.Printf("  a node paused for %v had the change %v after it went on\n", pauseTime, took.Round(time.Millisecond))
	return err
}

// restoreStore restores a backup of the store without the last change and restarts a
// node, which must not go back to the lower revision.
func (c *changer) restoreStore(ctx context.Context, i int) error {
	backup := c.fleet.Platform.Store.Copy()
	if err := c.change(ctx, nil); err != nil {
		return err
	}
	c.fleet.Platform.Store.Restore(backup)
	name := c.fleet.Specs[i%len(c.fleet.Specs)].Name
	c.fleet.Kill(name)
	if err := c.restart(ctx, []string{name}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	_, err := c.revisions.Await(ctx, c.fleet.Names(), c.newest, time.Now())
	return err
}
