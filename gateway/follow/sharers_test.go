package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

// newIdleFollower returns the follower of a node named n0, which is not running, and a
// function that registers nodes in its replica.
func newIdleFollower(t *testing.T) (f *Follower, register func(names ...string)) {
	t.Helper()
	transport, err := control.New(control.Config{Name: "n0", Key: []byte("0123456789abcdef")})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = transport.Close() })
	r := replica.New(hclog.NewNullLogger())
	f = New(Config{Replica: r, Transport: transport, Log: hclog.NewNullLogger(), Self: replica.Node{Name: "n0"}})
	revision := platform.Revision(0)
	return f, func(names ...string) {
		for _, name := range names {
			revision++
			n := replica.Node{Name: name, ControlAddress: name}
			r.Apply("test", []platform.Item{{Key: n.Key(), Value: n.Encode(), Revision: revision}}, revision)
		}
	}
}

// TestSharesNeverExceedALimit guards against exceeding a fleet-wide limit because nodes
// that join, or that are partitioned, take shares that other nodes do not know of.
func TestSharesNeverExceedALimit(t *testing.T) {
	c := qt.New(t)
	f, register := newIdleFollower(t)
	now := time.Now()
	f.recordConfirmation(now)
	c.Check(f.LimitShares(now), qt.Equals, 0, qt.Commentf("not registered"))
	register("n1", "n2")
	c.Check(f.LimitShares(now), qt.Equals, 0, qt.Commentf("not registered"))
	register("n0")
	c.Check(f.LimitShares(now), qt.Equals, 0, qt.Commentf("the others may not know it yet"))
	now = now.Add(propagationTime - time.Millisecond)
	c.Check(f.LimitShares(now), qt.Equals, 0, qt.Commentf("the others may not know it yet"))
	now = now.Add(time.Millisecond)
	f.recordConfirmation(now)
	c.Check(f.LimitShares(now), qt.Equals, 3)
	register("n3")
	c.Check(f.LimitShares(now), qt.Equals, 4)
	c.Check(f.LimitShares(now.Add(propagationTime)), qt.Equals, 8, qt.Commentf("partitioned: as many nodes may have joined"))

	confirmed := now.Add(propagationTime)
	f.confirmByRelay("n1", answer{age: time.Second, confirmedAt: confirmed})
	c.Check(f.LimitShares(confirmed.Add(propagationTime-time.Millisecond)), qt.Equals, 4, qt.Commentf("a relay confirms the replica"))
	c.Check(f.LimitShares(confirmed.Add(propagationTime)), qt.Equals, 8, qt.Commentf("the confirmation is old"))
	f.confirmByRelay("n1", answer{age: time.Hour, confirmedAt: confirmed.Add(-time.Hour)})
	c.Check(f.LimitShares(confirmed.Add(propagationTime)), qt.Equals, 8, qt.Commentf("a relay without the store confirms nothing"))
}
