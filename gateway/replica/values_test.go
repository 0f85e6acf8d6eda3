package replica

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
)

// large returns a configuration whose value is announced to other nodes.
func large(version int, rev platform.Revision) platform.Item {
	item := configuration(version, rev)
	item.Value = append(item.Value, strings.Repeat(" ", platform.MaxValueBytes-len(item.Value))...)
	return item
}

// TestLogKeepsNoReplacedValues guards against nodes that run out of memory, because the
// log of changes holds each version of a large configuration.
func TestLogKeepsNoReplacedValues(t *testing.T) {
	r := newReplica()
	for rev := range platform.Revision(100) {
		r.Apply("test", []platform.Item{large(int(rev)+1, rev+1)}, rev+1)
	}
	d := r.Changes(1)
	qt.Check(t, d.Items, qt.HasLen, 1, qt.Commentf("only the newest entry of a key counts"))
	qt.Check(t, d.Items[0].Revision, qt.Equals, platform.Revision(100))
	bytes := 0
	for _, item := range r.replaced {
		bytes += len(item.Value)
	}
	qt.Check(t, bytes <= maxReplacedBytes, qt.IsTrue, qt.Commentf("%d bytes of replaced values", bytes))
	_, known := r.ItemAt(platform.ConfigurationKey, 99)
	qt.Check(t, known, qt.IsTrue)
	_, known = r.ItemAt(platform.ConfigurationKey, 9)
	qt.Check(t, known, qt.IsFalse)
}

// TestCopyIsCompleteOnceAnnouncedValuesAreThere guards against a node that confirms or
// passes on a copy in which a value is missing, and against one that waits with the other
// changes until the value is there.
func TestCopyIsCompleteOnceAnnouncedValuesAreThere(t *testing.T) {
	c := qt.New(t)
	relay, node := newReplica(), newReplica()
	follow := func() Delta {
		d := relay.Changes(node.View().Listed)
		d.SplitLarge()
		node.Merge("relay", d)
		return d
	}
	relay.Replace("store", []platform.Item{configuration(1, 4), target("a", "10.0.0.1:1", "ready", 5)}, 6, 0)
	follow()
	c.Assert(node.View().Revision, qt.Equals, platform.Revision(6))

	relay.Apply("store", []platform.Item{large(2, 7), {Key: platform.TargetPrefix + "a", Revision: 8, Deleted: true}}, 8)
	c.Assert(follow().Announced, qt.DeepEquals, []Announcement{{platform.ConfigurationKey, 7}})
	c.Check(ids(node.View()), qt.HasLen, 0, qt.Commentf("the removal waits for the value"))
	c.Check(node.View().Revision, qt.Equals, platform.Revision(6))
	c.Check(node.View().Listed, qt.Equals, platform.Revision(8))
	c.Check(node.View().Checksum, qt.Equals, uint64(0))
	c.Check(node.Changes(6).Through, qt.Equals, platform.Revision(6))

	relay.Apply("store", []platform.Item{target("b", "10.0.0.2:1", "ready", 9)}, 9)
	c.Assert(follow().Items, qt.HasLen, 1, qt.Commentf("what was told is told again"))
	c.Check(ids(node.View()), qt.DeepEquals, []string{"b"})

	// The value changes while it is fetched: the older one does not complete the copy.
	relay.Apply("store", []platform.Item{large(3, 10)}, 10)
	follow()
	node.Merge("relay", Delta{Items: []platform.Item{large(2, 7)}})
	c.Check(node.View().Config.Revision, qt.Equals, relay.View().Config.Revision-1)
	c.Check(node.View().Revision, qt.Equals, platform.Revision(6))
	node.Merge("relay", Delta{Items: []platform.Item{large(3, 10)}})
	c.Check(node.View().Revision, qt.Equals, platform.Revision(10))
	c.Check(node.View().Announced, qt.HasLen, 0)
	c.Check(node.View().Checksum, qt.Equals, relay.View().Checksum)
}

// TestStoreCompletesACopyWithAnnouncedValues guards against a copy that never counts as
// complete, though the store itself has delivered it, because a value that a relay had
// announced is still missing.
func TestStoreCompletesACopyWithAnnouncedValues(t *testing.T) {
	c := qt.New(t)
	r := newReplica()
	r.Merge("relay", Delta{Announced: []Announcement{{platform.ConfigurationKey, 9}}, Through: 9, Snapshot: true})
	c.Check(r.View().Revision, qt.Equals, platform.Revision(0))
	r.Replace("store", []platform.Item{large(1, 4)}, 7, 0)
	c.Check(r.View().Revision, qt.Equals, platform.Revision(7))
	r.Apply("store", []platform.Item{target("a", "10.0.0.1:1", "ready", 8)}, 8)
	c.Check(r.View().Revision, qt.Equals, platform.Revision(8))
	r.Apply("store", []platform.Item{large(2, 9)}, 9)
	c.Check(r.View().Revision, qt.Equals, platform.Revision(9))
	c.Check(r.View().Announced, qt.HasLen, 0)
}

// TestAnnouncedValueThatTheStoreNoLongerHasIsNotMissing guards against a copy that stays
// incomplete because a key was removed before its announced value arrived.
func TestAnnouncedValueThatTheStoreNoLongerHasIsNotMissing(t *testing.T) {
	r := newReplica()
	r.Merge("relay", Delta{Announced: []Announcement{{Key: platform.ConfigurationKey, Revision: 10}}, Through: 10})
	r.Replace("store", nil, 12, 0)
	qt.Check(t, r.View().Announced, qt.HasLen, 0)
	qt.Check(t, r.View().Revision, qt.Equals, platform.Revision(12))
	qt.Check(t, r.View().Checksum, qt.Equals, emptySum)
}

// TestRemovedValueIsNotAnnouncedAgain guards against a copy that waits for a value again,
// because a relay that lags announces it after its key was removed.
func TestRemovedValueIsNotAnnouncedAgain(t *testing.T) {
	announcement := Announcement{Key: platform.ConfigurationKey, Revision: 10}
	r := newReplica()
	r.Merge("relay", Delta{Announced: []Announcement{announcement}, Through: 10})
	r.Merge("another relay", Delta{Snapshot: true, Through: 12})
	r.Merge("relay", Delta{Announced: []Announcement{announcement}, Through: 10})
	qt.Check(t, r.View().Announced, qt.HasLen, 0)
	qt.Check(t, r.View().Revision, qt.Equals, platform.Revision(12))
}

// TestRemovalOfAnAnnouncedValueIsPassedOn guards against nodes behind a relay that go on
// waiting for a value whose removal the relay knows.
func TestRemovalOfAnAnnouncedValueIsPassedOn(t *testing.T) {
	announced := Delta{Announced: []Announcement{{Key: platform.ConfigurationKey, Revision: 10}}, Through: 10}
	relay, node := newReplica(), newReplica()
	relay.Merge("relay", announced)
	node.Merge("relay", announced)
	relay.Replace("store", nil, 12, 0)
	node.Merge("relay", relay.Changes(node.View().Listed))
	qt.Check(t, node.View().Announced, qt.HasLen, 0)
	qt.Check(t, node.View().Revision, qt.Equals, platform.Revision(12))
}

// TestAnnouncementThatTheStoreContradictsIsCorrected guards against a copy that waits for a
// revision of a key that the store, read later, does not have.
func TestAnnouncementThatTheStoreContradictsIsCorrected(t *testing.T) {
	r := newReplica()
	r.Merge("relay", Delta{Announced: []Announcement{{Key: platform.ConfigurationKey, Revision: 10}}, Through: 10})
	r.Replace("store", []platform.Item{{Key: platform.ConfigurationKey, Value: []byte("{}"), Revision: 8}}, 12, 0)
	qt.Check(t, r.View().Announced, qt.HasLen, 0)
	qt.Check(t, r.View().Revision, qt.Equals, platform.Revision(12))
}
