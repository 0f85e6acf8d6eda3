package replica

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/platform"
)

func newReplica() *Replica { return New(hclog.NewNullLogger()) }

func configuration(version int, rev platform.Revision) platform.Item {
	text := fmt.Sprintf(`{"version":"%08x","listeners":[{"host":"h","policy":[{"name":"r","match":{"prefix":"/v%d/"},
		"action":{"service":"s","timeout-s":1}}]}],"clusters":[{"name":"s"}]}`, version, version)
	return platform.Item{Key: platform.ConfigurationKey, Value: []byte(text), Revision: rev}
}

func target(id, address, state string, rev platform.Revision) platform.Item {
	text := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":"s","slots":2},"status":{"state":%q}}`, address, rev, state)
	return platform.Item{Key: platform.TargetPrefix + id, Value: []byte(text), Revision: rev}
}

func ids(v *View) []string {
	var list []string
	for _, t := range v.Targets["s"] {
		list = append(list, t.ID)
	}
	return list
}

// TestConfigurationNeverGoesBack guards against a configuration that is replaced by an
// older one, which arrives later from a stale source or from the store itself.
func TestConfigurationNeverGoesBack(t *testing.T) {
	r := newReplica()
	r.Apply("test", []platform.Item{configuration(7, 20)}, 20)
	r.Apply("test", []platform.Item{configuration(3, 10)}, 10)
	qt.Check(t, r.View().Config.Revision, qt.Equals, dynamic.Revision(7))
	r.Replace("test", []platform.Item{configuration(5, 30)}, 30, 0)
	qt.Check(t, r.View().Config.Revision, qt.Equals, dynamic.Revision(7))
	r.Apply("test", []platform.Item{{Key: platform.ConfigurationKey, Revision: 31, Deleted: true}}, 31)
	r.Apply("test", []platform.Item{{Key: platform.ConfigurationKey, Value: []byte("{"), Revision: 32}}, 32)
	qt.Check(t, r.View().Config.Revision, qt.Equals, dynamic.Revision(7))
	qt.Check(t, r.View().Table.Match("h", "/v7/x"), qt.IsNotNil)
	qt.Check(t, r.View().Table.Match("h", "/v7"), qt.IsNil, qt.Commentf("the prefix ends with a slash"))
}

func TestNewestOfEachKeyCounts(t *testing.T) {
	r := newReplica()
	r.Apply("test", []platform.Item{target("a", "10.0.0.1:1", "draining", 5)}, 5)
	r.Apply("test", []platform.Item{target("a", "10.0.0.1:1", "ready", 4), target("b", "10.0.0.2:1", "ready", 3)}, 4)
	qt.Check(t, ids(r.View()), qt.DeepEquals, []string{"a", "b"})
	qt.Check(t, r.View().Targets["s"][0].Leaving, qt.IsTrue)
	qt.Check(t, r.View().Revision, qt.Equals, platform.Revision(5))
	r.Apply("test", []platform.Item{{Key: platform.TargetPrefix + "b", Revision: 6, Deleted: true}}, 6)
	r.Apply("test", []platform.Item{target("b", "10.0.0.2:1", "ready", 3)}, 3)
	qt.Check(t, ids(r.View()), qt.DeepEquals, []string{"a"})
}

func TestUndecodableEntryIsNoTarget(t *testing.T) {
	r := newReplica()
	r.Apply("test", []platform.Item{target("a", "10.0.0.1:1", "ready", 1), target("b", "10.0.0.2:1", "ready", 2)}, 2)
	r.Apply("test", []platform.Item{{Key: platform.TargetPrefix + "a", Value: []byte(`{"address":7}`), Revision: 3}}, 3)
	qt.Check(t, ids(r.View()), qt.DeepEquals, []string{"b"})
}

// TestAddressComesBackUnderAnotherTarget guards against listing a crashed target whose
// entry has not expired yet, while a new target has its address.
func TestAddressComesBackUnderAnotherTarget(t *testing.T) {
	r := newReplica()
	r.Apply("test", []platform.Item{target("old", "10.0.0.1:1", "ready", 1), target("new", "10.0.0.1:1", "ready", 2)}, 2)
	qt.Check(t, ids(r.View()), qt.DeepEquals, []string{"new"})
}

// TestChangesBringAnotherCopyUpToDate keeps one replica up to date with the changes of
// another.
func TestChangesBringAnotherCopyUpToDate(t *testing.T) {
	from, to := newReplica(), newReplica()
	follow := func() {
		to.Merge("test", from.Changes(to.View().Revision))
		qt.Check(t, to.View().Revision, qt.Equals, from.View().Revision)
		qt.Check(t, ids(to.View()), qt.DeepEquals, ids(from.View()))
	}
	from.Replace("test", []platform.Item{target("a", "10.0.0.1:1", "ready", 4), configuration(1, 5)}, 6, 0)
	follow()
	from.Apply("test", []platform.Item{target("b", "10.0.0.2:1", "ready", 7)}, 7)
	follow()
	from.Apply("test", []platform.Item{{Key: platform.TargetPrefix + "a", Revision: 8, Deleted: true}}, 8)
	follow()
	for i := range platform.Revision(2 * maxChanges) {
		from.Apply("test", []platform.Item{target("c", "10.0.0.3:1", "ready", 9+i)}, 9+i)
	}
	qt.Check(t, from.Changes(8).Snapshot, qt.IsTrue, qt.Commentf("a replica too far behind gets a full snapshot"))
	follow()
}

// TestRemovalWithinAGapReachesFollowers guards against a target that stays in use
// because the relay, which was without the store while the target came and went, passes
// on its later changes as complete.
func TestRemovalWithinAGapReachesFollowers(t *testing.T) {
	relay, node := newReplica(), newReplica()
	relay.Replace("test", []platform.Item{target("a", "10.0.0.1:1", "ready", 4)}, 6, 0)
	node.Replace("test", []platform.Item{target("a", "10.0.0.1:1", "ready", 4), target("b", "10.0.0.2:1", "ready", 7)}, 7, 0)
	// The target b is removed at revision 8, before the relay reads the store again.
	relay.Replace("test", []platform.Item{target("a", "10.0.0.1:1", "ready", 4)}, 10, 0)
	node.Merge("test", relay.Changes(node.View().Revision))
	qt.Check(t, node.View().Revision, qt.Equals, platform.Revision(10))
	qt.Check(t, ids(node.View()), qt.DeepEquals, []string{"a"})
}

// TestStoreReadEndsAWrongCopy guards against a node that takes entries for removed which
// the store has, and goes on doing so whenever it reads the store.
func TestStoreReadEndsAWrongCopy(t *testing.T) {
	c := qt.New(t)
	a, b := target("a", "10.0.0.1:1", "ready", 3), target("b", "10.0.0.2:1", "ready", 4)
	n := Node{Name: "n", ControlAddress: "10.0.0.9:1"}
	node := platform.Item{Key: n.Key(), Value: n.Encode(), Revision: 5}
	r := newReplica()
	r.Replace("test", []platform.Item{a, b, node, configuration(1, 2)}, 6, 0)
	r.Merge("relay", Delta{Through: 9, Snapshot: true})
	c.Assert(ids(r.View()), qt.HasLen, 0)

	// The store has the entries as they were, and a version that was written meanwhile.
	content := []platform.Item{a, b, node, configuration(2, 8)}
	r.Replace("test", content, 9, 0)
	c.Check(ids(r.View()), qt.DeepEquals, []string{"a", "b"})
	c.Check(r.View().Nodes, qt.DeepEquals, []Node{n})
	c.Check(r.View().Config.Revision, qt.Equals, dynamic.Revision(2))

	r.Apply("test", []platform.Item{{Key: b.Key, Revision: 12, Deleted: true}}, 12)
	r.Replace("test", content, 11, 0)
	c.Check(ids(r.View()), qt.DeepEquals, []string{"a"}, qt.Commentf("the target was removed after the store was read"))

	late := newReplica()
	late.Replace("test", content, 8, 0)
	late.Merge("relay", r.Changes(late.View().Revision))
	c.Check(ids(late.View()), qt.DeepEquals, []string{"a"}, qt.Commentf("a node that is behind gets the whole copy"))
}
