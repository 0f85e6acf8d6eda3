package replica

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
)

// TestChecksumTellsCopiesApart guards against copies of one revision that differ and are
// taken for the same, and against whole copies that are taken for different.
func TestChecksumTellsCopiesApart(t *testing.T) {
	c := qt.New(t)
	a, b := target("a", "10.0.0.1:1", "ready", 3), target("b", "10.0.0.2:1", "ready", 4)
	removed := platform.Item{Key: b.Key, Revision: 5, Deleted: true}
	read, told := newReplica(), newReplica()
	read.Replace("test", []platform.Item{a}, 6, 0)
	told.Apply("test", []platform.Item{b, a}, 4)
	c.Check(told.View().Checksum, qt.Not(qt.Equals), read.View().Checksum)
	told.Apply("test", []platform.Item{removed}, 6)
	c.Check(told.View().Checksum, qt.Equals, read.View().Checksum, qt.Commentf("however the entries came"))

	lacks, wiped := newReplica(), newReplica()
	lacks.Merge("test", Delta{Through: 6})
	wiped.Replace("test", []platform.Item{a}, 5, 0)
	wiped.Merge("test", Delta{Through: 6, Snapshot: true})
	for _, wrong := range []*Replica{lacks, wiped} {
		c.Check(wrong.View().Checksum, qt.Not(qt.Equals), read.View().Checksum)
		c.Check(wrong.View().Checksum, qt.Not(qt.Equals), uint64(0))
	}
	read.Apply("test", []platform.Item{target("c", "10.0.0.3:1", "ready", 9)}, 7)
	c.Check(read.View().Checksum, qt.Equals, uint64(0), qt.Commentf("changes between 7 and 9 may be missing"))
	read.Apply("test", nil, 9)
	c.Check(read.View().Checksum, qt.Not(qt.Equals), uint64(0))
}
