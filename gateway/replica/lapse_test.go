package replica

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
)

// testGrace is how long targets that are missing after an outage stay usable here.
const testGrace = 150 * time.Millisecond

// awaitIDs waits until a replica lists exactly the given targets.
func awaitIDs(t *testing.T, r *Replica, want ...string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got := ids(r.View()); len(got) == len(want) {
			break
		}
	}
	qt.Assert(t, ids(r.View()), qt.DeepEquals, want)
}

// lapseB returns a replica that lost the target b in an outage of the store.
func lapseB() *Replica {
	r := newReplica()
	r.Replace("test", []platform.Item{target("a", "10.0.0.1:1", "ready", 1), target("b", "10.0.0.2:1", "ready", 2)}, 2, 0)
	r.Replace("test", []platform.Item{target("a", "10.0.0.1:1", "ready", 1)}, 9, testGrace)
	return r
}

// TestTargetsMissingAfterAnOutage guards against dropping targets that expired while
// the store was away and may report again, and against keeping them for good.
func TestTargetsMissingAfterAnOutage(t *testing.T) {
	r := lapseB()
	qt.Check(t, ids(r.View()), qt.DeepEquals, []string{"a", "b"}, qt.Commentf("b may report again"))
	awaitIDs(t, r, "a")

	r = lapseB()
	r.Apply("test", []platform.Item{target("b", "10.0.0.2:1", "ready", 10)}, 10)
	time.Sleep(2 * testGrace)
	qt.Check(t, ids(r.View()), qt.DeepEquals, []string{"a", "b"}, qt.Commentf("b has reported again"))

	r = lapseB()
	r.EndLapses("test")
	qt.Check(t, ids(r.View()), qt.DeepEquals, []string{"a"}, qt.Commentf("the store was not away"))
}

// TestLapsedTargetEndsInAllCopies guards against a target that stays in use at nodes
// that are never told of the end of its grace, since they have the revision of its
// removal or have lost the relay.
func TestLapsedTargetEndsInAllCopies(t *testing.T) {
	relay := lapseB()
	near, far, late := newReplica(), newReplica(), newReplica()
	known := []platform.Item{target("a", "10.0.0.1:1", "ready", 1), target("b", "10.0.0.2:1", "ready", 2)}
	near.Replace("test", known, 8, 0)
	far.Replace("test", known, 2, 0)
	for _, node := range []*Replica{near, far} {
		node.Merge("relay", relay.Changes(node.View().Revision))
		qt.Check(t, ids(node.View()), qt.DeepEquals, []string{"a", "b"})
		qt.Check(t, node.View().Revision, qt.Equals, platform.Revision(9))
	}
	late.Merge("relay", near.Changes(0))
	qt.Check(t, ids(late.View()), qt.DeepEquals, []string{"a"}, qt.Commentf("a node that starts does not learn of b"))
	for _, node := range []*Replica{near, far, relay} {
		awaitIDs(t, node, "a")
	}
}

// TestGraceIsNeverExtended guards against a target that is gone and comes back into
// use, or stays in use longer, because several nodes read the store after an outage.
func TestGraceIsNeverExtended(t *testing.T) {
	content := []platform.Item{target("a", "10.0.0.1:1", "ready", 1)}
	r := lapseB()
	start := time.Now()
	removed := platform.Item{Key: platform.TargetPrefix + "b", Revision: 11, Deleted: true}
	r.Merge("relay", Delta{
		Items: []platform.Item{removed}, Through: 11, Lapsed: map[string]time.Duration{removed.Key: time.Hour},
	})
	awaitIDs(t, r, "a")
	qt.Check(t, time.Since(start) < 20*testGrace, qt.IsTrue)
	r.Replace("test", content, 12, time.Hour)
	qt.Check(t, ids(r.View()), qt.DeepEquals, []string{"a"})

	r = lapseB()
	removed.Revision = 10
	r.Apply("test", []platform.Item{removed}, 10)
	qt.Check(t, ids(r.View()), qt.DeepEquals, []string{"a"}, qt.Commentf("the store has removed it while it served"))
}

// TestLapsedTargetLosesItsAddress guards against a lapsed target that hides the one
// that has its address now.
func TestLapsedTargetLosesItsAddress(t *testing.T) {
	r := newReplica()
	r.Replace("test", []platform.Item{target("a", "10.0.0.1:1", "ready", 1)}, 2, 0)
	r.Replace("test", []platform.Item{target("b", "10.0.0.1:1", "ready", 5)}, 9, testGrace)
	qt.Check(t, ids(r.View()), qt.DeepEquals, []string{"b"})
}
