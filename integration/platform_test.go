package integration

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/filbertmill/internal/cluster"
	"filbertmill.example/testbed/memory"
)

// testLimit bounds the wait for any one event; it is no target.
const testLimit = 60 * time.Second

func startCluster(c *qt.C, o cluster.Options) *cluster.Cluster {
	o.Binary, o.Dir, o.Zones = binary, c.TempDir(), zones
	f, err := cluster.Start(limited(c), o)
	if f != nil {
		c.Cleanup(f.Close)
	}
	c.Assert(err, qt.IsNil)
	return f
}

func limited(c *qt.C) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	c.Cleanup(cancel)
	return ctx
}

// awaitRevision waits until all running nodes report the revision.
func awaitRevision(c *qt.C, f *cluster.Cluster, r *cluster.Revisions, revision int64) {
	_, err := r.Await(limited(c), f.Names(), revision, time.Now())
	c.Assert(err, qt.IsNil)
}

func TestNoNodeGoesBackWhateverHappens(t *testing.T) {
	c := qt.New(t)
	ctx, stop := context.WithCancel(context.Background())
	c.Cleanup(stop)
	f := startCluster(c, cluster.Options{Nodes: 8, Services: 1, TargetsEach: 2})
	r := cluster.Follow(ctx, f.Specs)
	revision := int64(1)
	change := func() {
		d, err := f.Change(ctx)
		c.Assert(err, qt.IsNil)
		revision = d.Version.Revision
	}
	change()
	awaitRevision(c, f, r, revision)

	c.Logf("the watching nodes are killed just after a change is accepted")
	watchers, err := f.Watchers(limited(c))
	c.Assert(err, qt.IsNil)
	c.Assert(watchers, qt.HasLen, 3)
	change()
	for _, name := range watchers {
		f.Kill(name)
	}
	awaitRevision(c, f, r, revision)
	for _, name := range watchers {
		c.Assert(f.StartNode(f.Index(name)), qt.IsNil)
	}
	awaitRevision(c, f, r, revision)

	c.Logf("a node is paused while the others go on")
	paused := f.Nodes[f.Specs[5].Name]
	c.Assert(paused.Pause(), qt.IsNil)
	change()
	change()
	others := slices.DeleteFunc(f.Names(), func(n string) bool { return n == paused.Spec.Name })
	_, err = r.Await(limited(c), others, revision, time.Now())
	c.Assert(err, qt.IsNil)
	c.Assert(paused.Resume(), qt.IsNil)
	awaitRevision(c, f, r, revision)

	c.Logf("the store comes back with an older copy, and a node restarts")
	backup := f.Platform.Store.Copy()
	change()
	awaitRevision(c, f, r, revision)
	f.Platform.Store.Restore(backup)
	name := f.Specs[6].Name
	f.Kill(name)
	c.Assert(f.StartNode(6), qt.IsNil)
	awaitRevision(c, f, r, revision)

	c.Logf("the operators' next change goes above what is in force")
	change()
	awaitRevision(c, f, r, revision)
	c.Assert(revision, qt.Equals, int64(7))
	c.Assert(r.Backward(), qt.HasLen, 0)
}

func TestNodesJoinAndRestartWhileThePlatformIsAway(t *testing.T) {
	c := qt.New(t)
	ctx, stop := context.WithCancel(context.Background())
	c.Cleanup(stop)
	f := startCluster(c, cluster.Options{Nodes: 6, Spare: 2, Services: 1, TargetsEach: 2})
	r := cluster.Follow(ctx, f.Specs)
	f.Platform.Store.SetFaults(memory.Faults{Unavailable: true})
	f.Platform.Hosts.SetFaults(memory.Faults{Unavailable: true})
	f.Kill(f.Specs[0].Name)
	c.Assert(f.StartNode(0), qt.IsNil)
	c.Assert(f.StartNode(6), qt.IsNil)
	c.Assert(f.StartNode(7), qt.IsNil)
	for _, i := range []int{0, 6, 7} {
		c.Assert(f.Nodes[f.Specs[i].Name].Ready(ctx), qt.IsNil)
	}
	c.Assert(f.AwaitMembers(limited(c), 8), qt.IsNil)
	awaitRevision(c, f, r, 1)
	c.Assert(get(c, f, 7, cluster.Service(0)), qt.Equals, http.StatusOK)
}

func get(c *qt.C, f *cluster.Cluster, node int, service string) int {
	resp, err := http.Get("http://" + f.Specs[node].Callers + "/" + service)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	return resp.StatusCode
}

func TestIdempotentRequestsGoOnWhenTheirHomeIsLost(t *testing.T) {
	tests := []struct {
		desc string
		lose func(c *qt.C, f *cluster.Cluster, home string)
		back func(c *qt.C, f *cluster.Cluster, home string)
	}{
		{
			"crash",
			func(_ *qt.C, f *cluster.Cluster, home string) { f.Kill(home) },
			func(c *qt.C, f *cluster.Cluster, home string) {
				c.Assert(f.StartNode(f.Index(home)), qt.IsNil)
				c.Assert(f.Nodes[home].Ready(limited(c)), qt.IsNil)
			},
		},
		{
			"pause",
			func(c *qt.C, f *cluster.Cluster, home string) { c.Assert(f.Nodes[home].Pause(), qt.IsNil) },
			func(c *qt.C, f *cluster.Cluster, home string) { c.Assert(f.Nodes[home].Resume(), qt.IsNil) },
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			f := startCluster(c, cluster.Options{Nodes: 6, Services: 1, TargetsEach: 4})
			home, err := f.Home(limited(c), cluster.Service(0))
			c.Assert(err, qt.IsNil)
			entry := 0
			if f.Specs[entry].Name == home {
				entry = 1
			}
			c.Assert(get(c, f, entry, cluster.Service(0)), qt.Equals, http.StatusOK)
			test.lose(c, f, home)
			for range 20 {
				c.Assert(get(c, f, entry, cluster.Service(0)), qt.Equals, http.StatusOK)
			}
			test.back(c, f, home)
			c.Assert(f.AwaitMembers(limited(c), 6), qt.IsNil)
			for i := range 6 {
				c.Assert(get(c, f, i, cluster.Service(0)), qt.Equals, http.StatusOK)
			}
		})
	}
}
