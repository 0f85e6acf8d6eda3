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

// testTimeout limits the wait for a single event. It is no requirement on the fleet.
const testTimeout = 60 * time.Second

// startCluster starts a cluster, which is closed at the end of the test.
func startCluster(c *qt.C, o cluster.Options) *cluster.Cluster {
	o.Binary, o.Dir, o.Zones = binary, c.TempDir(), zones
	f, err := cluster.Start(limited(c), o)
	if f != nil {
		c.Cleanup(f.Close)
	}
	c.Assert(err, qt.IsNil)
	return f
}

// limited returns a context that ends after testTimeout.
func limited(c *qt.C) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	return ctx
}

// awaitRevision waits until all running nodes report the revision.
func awaitRevision(c *qt.C, f *cluster.Cluster, r *cluster.Revisions, revision int64) {
	_, err := r.Await(limited(c), f.Names(), revision, time.Now())
	c.Assert(err, qt.IsNil)
}

// TestNoNodeRevertsToAnOlderRevision guards against a node that puts an older revision
// in force than before. The nodes that watch the store are killed just after a change,
// a node is suspended during changes, and the store is restored from an older copy
// while a node restarts.
func TestNoNodeRevertsToAnOlderRevision(t *testing.T) {
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

	c.Logf("a node is suspended while the others receive changes")
	suspended := f.Nodes[f.Specs[5].Name]
	c.Assert(suspended.Pause(), qt.IsNil)
	change()
	change()
	others := slices.DeleteFunc(f.Names(), func(n string) bool { return n == suspended.Spec.Name })
	_, err = r.Await(limited(c), others, revision, time.Now())
	c.Assert(err, qt.IsNil)
	c.Assert(suspended.Resume(), qt.IsNil)
	awaitRevision(c, f, r, revision)

	c.Logf("the store is restored from an older copy, and a node restarts")
	backup := f.Platform.Store.Copy()
	change()
	awaitRevision(c, f, r, revision)
	f.Platform.Store.Restore(backup)
	name := f.Specs[6].Name
	f.Kill(name)
	c.Assert(f.StartNode(6), qt.IsNil)
	awaitRevision(c, f, r, revision)

	c.Logf("the next change gets a revision above those in force")
	change()
	awaitRevision(c, f, r, revision)
	c.Assert(revision, qt.Equals, int64(7))
	c.Assert(r.Backward(), qt.HasLen, 0)
}

// TestNodesJoinAndRestartWhileThePlatformIsUnavailable guards against nodes that need
// the store or the host list to start: one node restarts and two join while both are
// unavailable.
func TestNodesJoinAndRestartWhileThePlatformIsUnavailable(t *testing.T) {
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

// get sends a GET request for a service to a node and returns the status.
func get(c *qt.C, f *cluster.Cluster, node int, service string) int {
	resp, err := http.Get("http://" + f.Specs[node].Callers + "/" + service)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	return resp.StatusCode
}

// TestIdempotentRequestsGoOnWhenTheirHomeIsLost guards against idempotent requests that
// fail while their home is killed or suspended, or after it has returned.
func TestIdempotentRequestsGoOnWhenTheirHomeIsLost(t *testing.T) {
	tests := []struct {
		desc    string
		lose    func(c *qt.C, f *cluster.Cluster, home string)
		restore func(c *qt.C, f *cluster.Cluster, home string)
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
			test.restore(c, f, home)
			c.Assert(f.AwaitMembers(limited(c), 6), qt.IsNil)
			for i := range 6 {
				c.Assert(get(c, f, i, cluster.Service(0)), qt.Equals, http.StatusOK)
			}
		})
	}
}
