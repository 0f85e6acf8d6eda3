package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/filbertmill/internal/cluster"
	"filbertmill.example/fleet/control"
	"filbertmill.example/testbed/process"
)

const (
	// settleTime lets a new fleet come to rest before costs are counted.
	settleTime = 15 * time.Second
	// clockTicks is the number of processor clock ticks a second in /proc.
	clockTicks = 100
	// costChanges is the number of changes made at each size.
	costChanges = 20
)

// cost is what one node and the platform spend at a fleet size.
type cost struct {
	nodes          int
	platformCalls  float64 // a second, whole fleet
	sentBytes      float64 // a second and node
	messages       float64 // a second and node
	connections    float64 // a node
	cpuShare       float64 // of a core, a node
	residentMiB    float64 // a node
	inForceMedian  time.Duration
	inForceLongest time.Duration
}

// usage is a running total over all nodes.
type usage struct {
	sent, messages, connections int64
	ticks                       int64
	residentKiB                 int64
}

// measureCosts measures each size and prints the slopes.
func measureCosts(ctx context.Context, bin, dir string, a args) error {
	var costs []cost
	for _, n := range a.Sizes {
		c, err := measureSize(ctx, bin, dir, n, a)
		if err != nil {
			return err
		}
		costs = append(costs, c)
	}
	printSlopes(costs)
	return nil
}

func measureSize(ctx context.Context, bin, dir string, n int, a args) (cost, error) {
	c := cost{nodes: n}
	err := withCluster(ctx, bin, dir, n, func(f *cluster.Cluster) error {
		time.Sleep(settleTime)
		before, err := usageOf(ctx, f)
		if err != nil {
			return err
		}
		calls := platformCalls(f)
		time.Sleep(a.Idle)
		after, err := usageOf(ctx, f)
		if err != nil {
			return err
		}
		per := a.Idle.Seconds() * float64(n)
		c.platformCalls = float64(platformCalls(f)-calls) / a.Idle.Seconds()
		c.sentBytes = float64(after.sent-before.sent) / per
		c.messages = float64(after.messages-before.messages) / per
		c.connections = float64(after.connections) / float64(n)
		c.cpuShare = float64(after.ticks-before.ticks) / clockTicks / per
		c.residentMiB = float64(after.residentKiB) / 1024 / float64(n)
		c.inForceMedian, c.inForceLongest, err = measureChanges(ctx, f, costChanges)
		return err
	})
	fmt.Printf("%2d nodes: platform %.2f calls/s; a node sends %.0f control bytes/s in %.1f messages/s over %.1f connections, "+
		"uses %.2f%% of a core and %.1f MiB; in force on all: median %v, longest of %d %v\n",
		n, c.platformCalls, c.sentBytes, c.messages, c.connections, 100*c.cpuShare, c.residentMiB,
		c.inForceMedian.Round(time.Millisecond), costChanges, c.inForceLongest.Round(time.Millisecond))
	return c, err
}

func platformCalls(f *cluster.Cluster) int64 {
	return f.Platform.Store.Calls().Total() + f.Platform.Hosts.Calls().Total()
}

func usageOf(ctx context.Context, f *cluster.Cluster) (usage, error) {
	var total usage
	for _, n := range f.Nodes {
		var vars struct {
			Control control.Counters `json:"control"`
		}
		if err := process.GetJSON(ctx, n.Spec.Admin, "/debug/vars", &vars); err != nil {
			return total, err
		}
		total.sent += vars.Control.SentBytes
		total.messages += vars.Control.SentMessages
		total.connections += vars.Control.Connections
		ticks, resident, err := processUsage(n.PID())
		if err != nil {
			return total, err
		}
		total.ticks += ticks
		total.residentKiB += resident
	}
	return total, nil
}

// processUsage returns a process's processor time in clock ticks and its
// resident memory in KiB.
func processUsage(pid int) (ticks, residentKiB int64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0, errors.Newf("stat of process %d has %d fields", pid, len(fields))
	}
	for _, f := range fields[11:13] {
		t, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, 0, err
		}
		ticks += t
	}
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	return ticks, pages * int64(os.Getpagesize()) / 1024, err
}

// printSlopes prints the least-squares line of each cost over the fleet's size;
// one size has none.
func printSlopes(costs []cost) {
	if len(costs) < 2 {
		return
	}
	lines := []struct {
		name  string
		value func(cost) float64
	}{
		{"platform calls/s", func(c cost) float64 { return c.platformCalls }},
		{"control bytes/s and node", func(c cost) float64 { return c.sentBytes }},
		{"messages/s and node", func(c cost) float64 { return c.messages }},
		{"connections a node", func(c cost) float64 { return c.connections }},
		{"% of a core a node", func(c cost) float64 { return 100 * c.cpuShare }},
		{"MiB a node", func(c cost) float64 { return c.residentMiB }},
	}
	for _, l := range lines {
		base, slope := fit(costs, l.value)
		fmt.Printf("%s = %.4g + %.4g for each node\n", l.name, base, slope)
	}
}

func fit(costs []cost, value func(cost) float64) (base, slope float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(costs))
	for _, c := range costs {
		x, y := float64(c.nodes), value(c)
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - slope*sx) / n, slope
}
