package replica

import (
	"cmp"
	"math"
	"slices"

	"filbertmill.example/platform"
)

const (
	// LargeValueBytes is the size from which on a value is announced to other nodes
	// instead of being passed on with the changes.
	LargeValueBytes = 4 << 10
	// maxReplacedBytes limits the replaced values that are kept, so that nodes that have
	// them get the difference only: four of the largest ones.
	maxReplacedBytes = 4 * platform.MaxValueBytes
)

// Announcement is a revision of a key whose value is still to be fetched.
type Announcement struct {
	Key      string            `cbor:"1,keyasint"`
	Revision platform.Revision `cbor:"2,keyasint"`
}

// SplitLarge moves the entries with large values from the Items of a delta to Announced.
func (d *Delta) SplitLarge() {
	d.Items = slices.DeleteFunc(d.Items, func(item platform.Item) bool {
		if len(item.Value) < LargeValueBytes {
			return false
		}
		d.Announced = append(d.Announced, Announcement{item.Key, item.Revision})
		return true
	})
}

// announce records that a value is still to be fetched. It reports whether it is missing.
func (r *Replica) announce(a Announcement) bool {
	if r.items[a.Key].Revision >= a.Revision || r.announced[a.Key] >= a.Revision {
		return false
	}
	r.announced[a.Key] = a.Revision
	return true
}

// firstAnnounced returns the lowest revision of the values that are still to be fetched.
func (r *Replica) firstAnnounced() platform.Revision {
	first := platform.Revision(math.MaxInt64)
	for _, revision := range r.announced {
		first = min(first, revision)
	}
	return first
}

// announcements returns the values that are still to be fetched, sorted by key.
func (r *Replica) announcements() []Announcement {
	list := make([]Announcement, 0, len(r.announced))
	for key, revision := range r.announced {
		list = append(list, Announcement{key, revision})
	}
	slices.SortFunc(list, func(a, b Announcement) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// keepReplaced keeps a large value that has been replaced, and drops the oldest ones beyond
// maxReplacedBytes.
func (r *Replica) keepReplaced(old platform.Item) {
	if len(old.Value) < LargeValueBytes {
		return
	}
	r.replaced = append(r.replaced, old)
	bytes := 0
	for _, item := range r.replaced {
		bytes += len(item.Value)
	}
	for bytes > maxReplacedBytes {
		bytes -= len(r.replaced[0].Value)
		r.replaced = slices.Delete(r.replaced, 0, 1)
	}
}

// Item returns the entry of a key.
func (r *Replica) Item(key string) (item platform.Item, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	item, ok = r.items[key]
	return item, ok
}

// ItemAt returns the entry that a key had at the revision of one of its writes, if it is
// still known.
func (r *Replica) ItemAt(key string, revision platform.Revision) (item platform.Item, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if item, ok = r.items[key]; ok && item.Revision == revision {
		return item, true
	}
	for _, item := range r.replaced {
		if item.Key == key && item.Revision == revision {
			return item, true
		}
	}
	return platform.Item{}, false
}
