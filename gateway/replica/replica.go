// Package replica holds a node's copy of the content of the platform's store: the
// configuration, the targets and the nodes of the fleet.
//
// A replica merges changes from several sources, the store itself and other nodes, in
// any order. Of each key it keeps the entry with the highest revision of the store, unless
// the store itself, read later, has another one. A configuration is never replaced by an
// older one.
package replica

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/config/routing"
	"filbertmill.example/platform"
)

// maxChanges is the largest number of recent changes that are kept for other nodes. A
// node that is further behind gets a full snapshot.
const maxChanges = 4096

// change is an entry of the log of changes. The value is in the copy only: an entry of a
// key that has changed again means nothing.
type change struct {
	key      string
	revision platform.Revision
}

// View is the state of a Replica at one time. It is immutable.
type View struct {
	// Revision is the store's revision up to which the view is complete.
	Revision platform.Revision
	// Listed is the revision up to which the view is complete but for the announced
	// values, and Announced lists those, sorted by key.
	Listed    platform.Revision
	Announced []Announcement
	// Config is the configuration in force, or nil if none is known yet. Table holds
	// its routes.
	Config *dynamic.Config
	Table  *routing.Table
	// Workspaces holds its workspaces; nil if it has none.
	Workspaces *routing.Workspaces
	// Checksum identifies the entries of the copy. Two copies with the same Revision have
	// the same one. It is 0 if the copy holds entries beyond Revision, so that it cannot
	// be compared.
	Checksum uint64
	// Targets lists the usable targets of each service, sorted by name.
	Targets map[string][]platform.Target
	// Nodes lists the registered nodes, sorted by name.
	Nodes []Node
}

// Service returns the service with the given name, or nil.
func (v *View) Service(name string) *dynamic.Service {
	if v.Config == nil {
		return nil
	}
	for i := range v.Config.Services {
		if v.Config.Services[i].Name == name {
			return &v.Config.Services[i]
		}
	}
	return nil
}

// Target returns the target of a service with the given name, which identifies one
// run of the target.
func (v *View) Target(service, name string) (platform.Target, bool) {
	list := v.Targets[service]
	i, found := slices.BinarySearchFunc(list, name, func(t platform.Target, name string) int { return cmp.Compare(t.Name(), name) })
	if !found {
		return platform.Target{}, false
	}
	return list[i], true
}

// Replica is a node's copy of the store. It is safe for concurrent use.
type Replica struct {
	log  hclog.Logger
	view atomic.Pointer[View]

	mu       sync.Mutex
	items    map[string]platform.Item
	revision platform.Revision
	// sum is the exclusive or of the hashes of all entries that are not removed, and
	// highest the highest revision among all.
	sum     uint64
	highest platform.Revision
	// changes holds the recent changes in the order of their arrival. It is complete
	// after the revision changesFrom.
	changes     []change
	changesFrom platform.Revision
	// listed is the revision up to which the copy is complete but for the announced
	// values, whose revisions are in announced, by key.
	listed    platform.Revision
	announced map[string]platform.Revision
	// replaced holds large values that have been replaced, the oldest first.
	replaced []platform.Item
	// source is where the item that is being merged comes from, and implied is set if
	// it was missing in a snapshot.
	source  string
	implied bool
	// changed is closed and replaced on each change.
	changed chan struct{}

	config     *dynamic.Config
	table      *routing.Table
	workspaces *routing.Workspaces
	targets    map[string]platform.Target
	nodes      map[string]Node
	// lapsed holds, for removed targets that stay usable, until when.
	lapsed     map[string]time.Time
	lapseTimer *time.Timer
}

// New returns an empty Replica.
func New(log hclog.Logger) *Replica {
	r := &Replica{
		log:     log,
		sum:     emptySum,
		items:   make(map[string]platform.Item),
		changed: make(chan struct{}),

		announced: make(map[string]platform.Revision),

		targets: make(map[string]platform.Target),
		nodes:   make(map[string]Node),
		lapsed:  make(map[string]time.Time),
	}
	r.view.Store(&View{})
	return r
}

// View returns the current state.
func (r *Replica) View() *View { return r.view.Load() }

// Changed returns a channel that is closed on the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Delta is what one replica passes on to another.
type Delta struct {
	// Items holds the changes after a revision, or the full content if Snapshot is set.
	Items []platform.Item
	// Announced lists the keys whose entries are part of the content and are not in Items,
	// because their values are large.
	Announced []Announcement
	// Through is the revision up to which the content is complete.
	Through platform.Revision
	// Snapshot is set if keys that are missing in the content do not exist.
	Snapshot bool
	// Lapsed holds, for removed targets that may report again, how long they stay
	// usable.
	Lapsed map[string]time.Duration

	// fromStore is set if the store itself delivered the content.
	fromStore bool
}

// Apply merges changes that the store delivered, which are complete up to the revision
// through. The source names where they come from in log lines. Apply reports whether
// any of them was new.
func (r *Replica) Apply(source string, changes []platform.Item, through platform.Revision) bool {
	return r.Merge(source, Delta{Items: changes, Through: through, fromStore: true})
}

// Replace merges a full snapshot of the store as of the revision at, which the store
// itself delivered. Keys that are missing in it are removed, and entries that contradict
// it are corrected. If the store was away before, grace is how long targets that are
// missing stay usable, as they may report again. Replace reports whether anything was new.
func (r *Replica) Replace(source string, content []platform.Item, at platform.Revision, grace time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source, r.implied = source, false
	d := Delta{Items: content, Through: at, Snapshot: true, fromStore: true}
	return r.mergeDelta(d, grace, r.correct(d))
}

// Merge merges what another replica passed on. It reports whether anything was new.
func (r *Replica) Merge(source string, d Delta) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source, r.implied = source, false
	return r.mergeDelta(d, 0, false)
}

// mergeDelta merges a delta. If it is a snapshot, grace is how long targets that are
// missing in it stay usable. fresh is set if entries have already changed.
func (r *Replica) mergeDelta(d Delta, grace time.Duration, fresh bool) bool {
	for _, item := range d.Items {
		fresh = r.merge(item, d.Lapsed[item.Key]) || fresh
	}
	for _, a := range d.Announced {
		fresh = r.announce(a) || fresh
	}
	if d.Snapshot {
		removed := r.removeMissing(d, grace)
		fresh = fresh || removed > 0
		r.log.Info("snapshot merged", "source", r.source, "revision", d.Through, "before", r.revision, "items", len(d.Items), "removed", removed)
	}
	r.publish(d, fresh)
	r.scheduleLapses()
	return fresh
}

// correct puts back the entries of a snapshot of the store that this replica has, or awaits,
// at a higher revision, though no higher than that of the snapshot: no such write was made.
// It reports whether there are any.
func (r *Replica) correct(d Delta) bool {
	corrected := 0
	for _, item := range d.Items {
		known, ok := r.items[item.Key]
		if ok && known.Revision > item.Revision && known.Revision <= d.Through {
			r.set(item, 0)
			corrected++
		}
		if awaited := r.announced[item.Key]; awaited > item.Revision && awaited <= d.Through {
			delete(r.announced, item.Key)
			corrected++
		}
	}
	if corrected == 0 {
		return false
	}
	// What was passed on is wrong, and the changes don't repair it.
	r.changesFrom = max(r.changesFrom, d.Through)
	r.log.Error("this copy of the store was wrong and is corrected", "entries", corrected, "source", r.source, "revision", d.Through)
	return true
}

// removeMissing removes the keys that a snapshot lacks, also those whose announced values
// have not arrived. It returns their number.
func (r *Replica) removeMissing(d Delta, grace time.Duration) int {
	r.implied = true
	present := make(map[string]bool, len(d.Items)+len(d.Announced))
	for _, item := range d.Items {
		present[item.Key] = true
	}
	for _, a := range d.Announced {
		present[a.Key] = true
	}
	removed := 0
	for key, item := range r.items {
		if !present[key] && !item.Deleted && item.Revision <= d.Through {
			r.merge(platform.Item{Key: key, Revision: d.Through, Deleted: true}, grace)
			removed++
		}
	}
	for key, revision := range r.announced {
		if !present[key] && revision <= d.Through {
			r.merge(platform.Item{Key: key, Revision: d.Through, Deleted: true}, 0)
			removed++
		}
	}
	return removed
}

// Changes returns the changes after a revision, or a full snapshot if the replica does
// not know all of them.
func (r *Replica) Changes(after platform.Revision) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := Delta{Through: r.revision}
	switch {
	case after >= r.revision:
		return d
	case after < r.changesFrom || after == 0:
		d.Snapshot = true
		for key, item := range r.items {
			if _, lapsed := r.lapsed[key]; lapsed || !item.Deleted {
				d.Items = append(d.Items, item)
			}
		}
	default:
		for _, c := range r.changes {
			if item := r.items[c.key]; c.revision > after && item.Revision == c.revision {
				d.Items = append(d.Items, item)
			}
		}
	}
	d.Lapsed = r.remainingLapses(d.Items)
	return d
}

// merge stores one item if it is newer than the known one of its key. A target that it
// removes stays usable for the grace. merge reports whether the item is newer.
func (r *Replica) merge(item platform.Item, grace time.Duration) bool {
	old, known := r.items[item.Key]
	if known && item.Revision <= old.Revision {
		return false
	}
	r.set(item, grace)
	return true
}

// set stores one item. A target that it removes stays usable for the grace.
func (r *Replica) set(item platform.Item, grace time.Duration) {
	old, known := r.items[item.Key]
	setBack := known && !platform.SameEra(old.Revision, item.Revision)
	r.sum ^= itemHash(old) ^ itemHash(item)
	r.highest = max(r.highest, item.Revision)
	r.items[item.Key] = item
	r.keepReplaced(old)
	if r.announced[item.Key] <= item.Revision {
		delete(r.announced, item.Key)
	}
	r.changes = append(r.changes, change{item.Key, item.Revision})
	if len(r.changes) > maxChanges {
		drop := len(r.changes) - maxChanges/2
		for _, dropped := range r.changes[:drop] {
			r.changesFrom = max(r.changesFrom, dropped.revision)
		}
		r.changes = slices.Delete(r.changes, 0, drop)
	}
	if _, listed := r.targets[item.Key]; listed && item.Deleted && grace > 0 {
		r.lapse(item.Key, grace)
		return
	}
	left := r.targets[item.Key]
	r.decode(item)
	if t := r.targets[item.Key]; setBack && left.Leaving && !t.Leaving && t.Name() == left.Name() {
		// The store has an older copy of the entry, until the target writes it again.
		t.Leaving = true
		r.targets[item.Key] = t
	}
}

// decode updates the configuration, the targets or the nodes from one item.
func (r *Replica) decode(item platform.Item) {
	switch {
	case item.Key == platform.ConfigurationKey:
		r.decodeConfiguration(item)
	case isTarget(item.Key):
		if item.Deleted {
			r.drop(item)
			return
		}
		delete(r.targets, item.Key)
		delete(r.lapsed, item.Key)
		t, err := platform.DecodeTarget(item.Key, item.Value)
		if err != nil {
			r.log.Warn("target entry is not usable", "error", err, "revision", item.Revision)
			return
		}
		r.targets[item.Key] = t
		r.log.Info("target listed", "target", t.ID, "service", t.Service, "address", t.Address,
			"leaving", t.Leaving, "slots", t.Slots, "revision", item.Revision, "source", r.source)
	case strings.HasPrefix(item.Key, NodePrefix):
		delete(r.nodes, item.Key)
		if item.Deleted {
			return
		}
		n, err := DecodeNode(item.Value)
		if err != nil {
			r.log.Warn("node entry is not usable", "key", item.Key, "error", err)
			return
		}
		r.nodes[item.Key] = n
	}
}

func (r *Replica) decodeConfiguration(item platform.Item) {
	if item.Deleted {
		r.log.Warn("configuration was removed from the store; the one in force stays", "revision", item.Revision)
		return
	}
	cfg, err := platform.DecodeConfiguration(item.Value)
	if err != nil {
		r.log.Error("configuration refused; the one in force stays", "error", err, "revision", item.Revision)
		return
	}
	if r.config != nil && cfg.Revision <= r.config.Revision {
		r.log.Warn("older configuration ignored", "version", cfg.Revision, "in_force", r.config.Revision)
		return
	}
	r.config = cfg
	r.table = routing.NewTable(cfg)
	r.workspaces = routing.NewWorkspaces(cfg)
	r.log.Info("configuration in force", "version", cfg.Revision, "revision", item.Revision, "routes", len(cfg.Routes),
		"workspaces", len(cfg.Workspaces), "source", r.source)
}

// publish makes the merged state visible as a new View. fresh is set if any item of the
// delta was new.
func (r *Replica) publish(d Delta, fresh bool) {
	advanced := r.advance(d)
	if !fresh && !advanced {
		return
	}
	v := &View{
		Revision: r.revision, Listed: r.listed, Announced: r.announcements(), Checksum: r.checksum(),
		Config: r.config, Table: r.table, Workspaces: r.workspaces,
	}
	if old := r.view.Load(); !fresh {
		v.Targets, v.Nodes = old.Targets, old.Nodes
	} else {
		v.Targets = r.targetsByService()
		v.Nodes = slices.SortedFunc(maps.Values(r.nodes), func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	}
	r.view.Store(v)
	if fresh {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// advance sets the revisions up to which the copy is complete after a delta was merged. It
// reports whether one of them has changed.
func (r *Replica) advance(d Delta) bool {
	listed, revision := r.listed, r.revision
	if d.Through > r.listed {
		if d.Snapshot || r.revision == 0 {
			// Keys that came and went since the last revision are not known.
			r.changesFrom = max(r.changesFrom, d.Through)
		}
		r.listed = d.Through
	}
	complete := r.listed
	if len(r.announced) > 0 {
		// What a relay tells continues from the announcements; the store's word does not.
		complete = r.revision
		if d.fromStore && r.firstAnnounced() > d.Through {
			complete = d.Through
		}
	}
	r.revision = max(r.revision, complete)
	return r.listed != listed || r.revision != revision
}

// targetsByService returns the targets of each service, sorted by name. If several
// targets have the same address, only the one that was written last is returned: the
// others have ended, and their entries have not expired yet.
func (r *Replica) targetsByService() map[string][]platform.Target {
	latest := make(map[string]string, len(r.targets))
	for key, t := range r.targets {
		other, taken := latest[t.Address]
		if !taken || r.listedAt(key) > r.listedAt(other) {
			latest[t.Address] = key
		}
	}
	m := make(map[string][]platform.Target)
	for key, t := range r.targets {
		if latest[t.Address] == key {
			m[t.Service] = append(m[t.Service], t)
		}
	}
	for _, list := range m {
		slices.SortFunc(list, func(a, b platform.Target) int { return cmp.Compare(a.Name(), b.Name()) })
	}
	return m
}

// listedAt returns the revision at which a target was written, or 0 if its entry is
// removed.
func (r *Replica) listedAt(key string) platform.Revision {
	if item := r.items[key]; !item.Deleted {
		return item.Revision
	}
	return 0
}
