package follow

import (
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/gateway/replica"
)

// Copies of the store that are complete up to the same revision are the same. If two nodes
// have different ones, at least one is wrong, and a wrong copy that is passed on makes
// others wrong. Neither node can know which one it is, so both read the store.

const (
	// differencesToRead is the number of answers in a row that report a difference after
	// which a node reads the store. The relay reads it after the first, so that a relay
	// whose copy is wrong is corrected by then.
	differencesToRead = 2
	// checkedReadInterval is the least time between two reads of the store that a node
	// makes because of differences.
	checkedReadInterval = 5 * time.Second
)

var errCopyDiffers = errors.New("this node's copy differs from that of another node")

// differs reports whether a poll comes from a node with another copy of the same revision.
func differs(req changesRequest, view *replica.View) bool {
	return req.After == view.Revision && req.Checksum != 0 && view.Checksum != 0 && req.Checksum != view.Checksum
}

// checkCopy makes this node read the store soon, because its copy differs from that of
// another node.
func (f *Follower) checkCopy(other string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readDue || time.Since(f.checkedAt) < checkedReadInterval {
		return
	}
	f.readDue, f.checkedAt = true, time.Now()
	f.cfg.Log.Warn("copies of the store differ; the store is read", "other", other, "revision", f.cfg.Replica.View().Revision)
}

// mustRead reports whether this node has to read the store, whatever its copy is.
func (f *Follower) mustRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readDue
}

// recordRead records that this node's copy is as the store was.
func (f *Follower) recordRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readDue = false
}
