// Package cluster runs a fleet of real node processes with a stand-in for the
// platform, for integration tests and measurements.
package cluster

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet"
	"filbertmill.example/fleet/publish"
	"filbertmill.example/platform"
	"filbertmill.example/testbed/process"
	"filbertmill.example/testbed/standin"
	"filbertmill.example/testbed/target"
)

const (
	// addressInUse is the end of the log of a node that exited because another
	// program uses one of its addresses.
	addressInUse = "address already in use\n"
	// restartPause is the wait before such a node is started again.
	restartPause = 200 * time.Millisecond
)

// seedCount is the number of seeds in the settings of each node: nodes through which
// it joins the fleet.
const seedCount = 3

// Options describe a Cluster.
type Options struct {
	// Binary is the program; Dir is the directory for settings and logs.
	Binary string
	Dir    string
	// Nodes is the number of nodes that are started; Spare is the number of further
	// nodes, which have addresses only.
	Nodes int
	Spare int
	// Zones are the availability zones of nodes and targets.
	Zones []string
	// Services is the number of services, TargetsEach the targets of each.
	Services    int
	TargetsEach int
	// Work is the service time of the targets.
	Work time.Duration
}

// Cluster is a running fleet.
type Cluster struct {
	// Platform is the stand-in for the platform that all nodes use.
	Platform *standin.Standin
	// Publisher changes the configuration.
	Publisher *publish.Publisher
	// Specs describe all nodes; Nodes holds those that run, by name.
	Specs []process.Spec
	Nodes map[string]*process.Node

	opts    Options
	targets []*target.Target
	ini     string
	changes int
	newest  int64
}

// Start starts the platform and the targets, publishes revision 1, starts the nodes,
// and waits until all are members. The caller must close a Cluster that is not nil,
// also after an error.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{opts: o, Nodes: make(map[string]*process.Node)}
	var err error
	if c.Platform, err = standin.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	c.Publisher = &publish.Publisher{Store: c.Platform.Store}
	if c.Specs, err = process.NewSpecs(o.Nodes+o.Spare, o.Zones); err != nil {
		return c, err
	}
	if err := c.startTargets(); err != nil {
		return c, err
	}
	c.ListHosts(o.Nodes)
	if _, err := c.Change(ctx); err != nil {
		return c, err
	}
	for i := range o.Nodes {
		if err := c.StartNode(i); err != nil {
			return c, err
		}
	}
	for _, n := range c.Nodes {
		if err := n.Ready(ctx); err != nil {
			return c, err
		}
	}
	return c, c.AwaitMembers(ctx, o.Nodes)
}

// Close kills the nodes and closes the targets and the platform.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		_ = n.Resume()
		n.Kill()
	}
	for _, t := range c.targets {
		t.Close()
	}
	_ = c.Platform.Close()
}

// Service returns the name of the i-th service; its route is "/" and the name.
func Service(i int) string { return fmt.Sprintf("service-%d", i) }

func (c *Cluster) startTargets() error {
	var ini strings.Builder
	for i := range c.opts.Services {
		name := Service(i)
		fmt.Fprintf(&ini, "[service %s]\n\n[route %s]\nprefix = /%s\nservice = %s\n\n", name, name, name, name)
		for k := range c.opts.TargetsEach {
			t, err := target.Start(target.Config{
				Name: fmt.Sprintf("%s-%d", name, k), Address: "127.0.0.1:0", Work: c.opts.Work, Seed: uint64(k),
			})
			if err != nil {
				return err
			}
			c.targets = append(c.targets, t)
			fmt.Fprintf(&ini, "[target %s-%d]\nservice = %s\naddress = %s\navailability_zone = %s\n\n",
				name, k, name, t.Address(), c.opts.Zones[k%len(c.opts.Zones)])
		}
	}
	c.ini = ini.String()
	return nil
}

// ListHosts sets the host list to the first n nodes.
func (c *Cluster) ListHosts(n int) {
	var hosts []platform.Host
	for _, s := range c.Specs[:n] {
		hosts = append(hosts, platform.Host{
			Name: s.Name, AvailabilityZone: s.AvailabilityZone, Region: "test",
			PeerAddress: s.Peers, ControlAddress: s.Control,
		})
	}
	c.Platform.Hosts.SetHosts(hosts)
}

// StartNode starts the i-th node, which may have run before.
func (c *Cluster) StartNode(i int) error {
	extra := fmt.Sprintf("[platform]\nstore = %s\nhost_list = %s\n\n[drain]\ndelay = 200ms\n",
		c.Platform.URL(), c.Platform.URL())
	spec := c.Specs[i]
	n, err := process.Start(c.opts.Binary, c.opts.Dir, spec, spec.Settings(c.Specs[:seedCount], extra))
	if err != nil {
		return err
	}
	c.Nodes[spec.Name] = n
	return nil
}

// RestartNode starts the i-th node again and waits until it is ready. If another
// program on the machine uses one of its addresses, it retries until the address is
// free.
func (c *Cluster) RestartNode(ctx context.Context, i int) error {
	for {
		if err := c.StartNode(i); err != nil {
			return err
		}
		n := c.Nodes[c.Specs[i].Name]
		err := n.Ready(ctx)
		if err == nil {
			return nil
		}
		log, readErr := os.ReadFile(n.Log)
		if readErr != nil || !strings.HasSuffix(string(log), addressInUse) {
			return err
		}
		if err := sleep(ctx, restartPause); err != nil {
			return err
		}
	}
}

// Kill kills a node's process, which has no time to drain.
func (c *Cluster) Kill(name string) {
	c.Nodes[name].Kill()
	delete(c.Nodes, name)
}

// Index returns the index of a node in Specs.
func (c *Cluster) Index(name string) int {
	for i, s := range c.Specs {
		if s.Name == name {
			return i
		}
	}
	panic("no node " + name)
}

// Change publishes a configuration in which one setting differs from the last. Its
// revision is higher than all published before.
func (c *Cluster) Change(ctx context.Context) (fleet.Document, error) {
	base, err := c.Publisher.Current(ctx)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return base, err
	}
	c.changes++
	text := fmt.Sprintf("%s[exception change]\nscope = service %s\nkey = queue_limit\nvalue = %d\nreason = change %d\nauthor = cluster\n",
		c.ini, Service(0), 256+c.changes, c.changes)
	d, err := c.Publisher.Apply(ctx, publish.Change{
		File: "cluster.ini", Text: []byte(text), Base: base.Version.Revision, Author: "cluster", HighestInForce: c.newest,
	})
	if err == nil {
		c.newest = d.Version.Revision
	}
	return d, err
}

// AwaitMembers waits until the fleet has exactly n members, each of which reports n
// members as alive and none of which is suspected.
func (c *Cluster) AwaitMembers(ctx context.Context, n int) error {
	for {
		s, err := c.Status(ctx)
		if err == nil && membersAgree(s, n) {
			return nil
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return errors.Wrapf(err, "wait for %d members", n)
		}
	}
}

// membersAgree reports whether the fleet has n members that are all alive and each
// report n members as alive.
func membersAgree(s fleet.Status, n int) bool {
	for _, m := range s.Members {
		if m.Member.State != fleet.StateAlive || m.Node == nil || m.Node.Alive != n {
			return false
		}
	}
	return len(s.Members) == n
}

// Status returns the state of the fleet as the first running node reports it.
func (c *Cluster) Status(ctx context.Context) (fleet.Status, error) {
	for _, spec := range c.Specs {
		if _, ok := c.Nodes[spec.Name]; !ok {
			continue
		}
		var s fleet.Status
		err := process.GetJSON(ctx, spec.Admin, "/status", &s)
		return s, err
	}
	return fleet.Status{}, errors.New("no node runs")
}

// Watchers returns the nodes that watch the store.
func (c *Cluster) Watchers(ctx context.Context) ([]string, error) {
	s, err := c.Status(ctx)
	var out []string
	for _, m := range s.Members {
		if m.Node != nil && m.Node.Watching {
			out = append(out, m.Member.Name())
		}
	}
	return out, err
}

// Home returns the home of a service.
func (c *Cluster) Home(ctx context.Context, service string) (string, error) {
	s, err := c.Status(ctx)
	for _, h := range s.Homes {
		if h.Service == service {
			return h.Home, err
		}
	}
	return "", errors.Newf("no home of %s: %v", service, err)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
