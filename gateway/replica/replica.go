// Package replica holds a node's copy of the content of the platform's store: the
// configuration, the targets and the nodes of the fleet.
//
// A replica merges changes from several sources, the store itself and other nodes, in
// any order. Of each key it keeps the entry with the highest revision of the store. A
// configuration is never replaced by an older one.
package replica

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/config/routing"
	"filbertmill.example/platform"
)

// maxChanges is the largest number of recent changes that are kept for other nodes. A
// node that is further behind gets a full snapshot.
const maxChanges = 4096

// View is the state of a Replica at one time. It is immutable.
type View struct {
	// Revision is the store's revision up to which the view is complete.
	Revision platform.Revision
	// Config is the configuration in force, or nil if none is known yet. Table holds
	// its routes.
	Config *dynamic.Config
	Table  *routing.Table
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
	// changes holds the recent changes in the order of their arrival. It is complete
	// after the revision changesFrom.
	changes     []platform.Item
	changesFrom platform.Revision
	// source is where the item that is being merged comes from, and implied is set if
	// it was missing in a snapshot.
	source  string
	implied bool
	// changed is closed and replaced on each change.
	changed chan struct{}

	config  *dynamic.Config
	table   *routing.Table
	targets map[string]platform.Target
	nodes   map[string]Node
}

// New returns an empty Replica.
func New(log hclog.Logger) *Replica {
	r := &Replica{
		log:     log,
		items:   make(map[string]platform.Item),
		changed: make(chan struct{}),
		targets: make(map[string]platform.Target),
		nodes:   make(map[string]Node),
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

// Apply merges changes, which are complete up to the revision through. The source
// names where they come from in log lines. It reports whether any of them was new.
func (r *Replica) Apply(source string, changes []platform.Item, through platform.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source, r.implied = source, false
	fresh := false
	for _, item := range changes {
		fresh = r.merge(item) || fresh
	}
	r.publish(through, fresh)
	return fresh
}

// Replace merges a full snapshot of the store as of the revision at. Keys that are
// missing in it are removed. If keepTargets is set, missing targets are kept, because
// they may have been unable to report for a while. Replace reports whether anything
// was new.
func (r *Replica) Replace(source string, content []platform.Item, at platform.Revision, keepTargets bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source, r.implied = source, false
	fresh := false
	present := make(map[string]bool, len(content))
	for _, item := range content {
		present[item.Key] = true
		fresh = r.merge(item) || fresh
	}
	r.implied = true
	for key, item := range r.items {
		if present[key] || item.Deleted || item.Revision > at {
			continue
		}
		if keepTargets && strings.HasPrefix(key, platform.TargetPrefix) {
			r.log.Info("target kept although it is missing in the store", "key", key, "source", source, "revision", at)
			continue
		}
		fresh = r.merge(platform.Item{Key: key, Revision: at, Deleted: true}) || fresh
	}
	r.publish(at, fresh)
	return fresh
}

// Changes returns the changes after a revision, and the revision up to which they are
// complete. If snapshot is true, changes is a full snapshot instead.
func (r *Replica) Changes(after platform.Revision) (changes []platform.Item, through platform.Revision, snapshot bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after >= r.revision {
		return nil, r.revision, false
	}
	if after < r.changesFrom || after == 0 {
		for _, item := range r.items {
			if !item.Deleted {
				changes = append(changes, item)
			}
		}
		return changes, r.revision, true
	}
	for _, item := range r.changes {
		if item.Revision > after {
			changes = append(changes, item)
		}
	}
	return changes, r.revision, false
}

// merge stores one item if it is newer than the known one of its key. It reports
// whether it did.
func (r *Replica) merge(item platform.Item) bool {
	old, known := r.items[item.Key]
	if known && item.Revision <= old.Revision {
		return false
	}
	r.items[item.Key] = item
	r.changes = append(r.changes, item)
	if len(r.changes) > maxChanges {
		drop := len(r.changes) - maxChanges/2
		for _, dropped := range r.changes[:drop] {
			r.changesFrom = max(r.changesFrom, dropped.Revision)
		}
		r.changes = slices.Delete(r.changes, 0, drop)
	}
	r.decode(item)
	return true
}

// decode updates the configuration, the targets or the nodes from one item.
func (r *Replica) decode(item platform.Item) {
	switch {
	case item.Key == platform.ConfigurationKey:
		r.decodeConfiguration(item)
	case strings.HasPrefix(item.Key, platform.TargetPrefix):
		delete(r.targets, item.Key)
		if item.Deleted {
			r.log.Info("target is gone from the store", "key", item.Key, "revision", item.Revision, "source", r.source,
				"implied", r.implied, "complete_through", r.revision)
			return
		}
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
	r.log.Info("configuration in force", "version", cfg.Revision, "revision", item.Revision, "routes", len(cfg.Routes),
		"source", r.source)
}

// publish makes the merged state visible as a new View. through is the revision up to
// which it is complete, and fresh is set if any item was new.
func (r *Replica) publish(through platform.Revision, fresh bool) {
	advanced := through > r.revision
	if advanced {
		if r.revision == 0 {
			r.changesFrom = through
		}
		r.revision = through
	}
	if !fresh && !advanced {
		return
	}
	v := &View{Revision: r.revision, Config: r.config, Table: r.table}
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

// targetsByService returns the targets of each service, sorted by name. If several
// targets have the same address, only the one that was written last is returned: the
// others have ended, and their entries have not expired yet.
func (r *Replica) targetsByService() map[string][]platform.Target {
	latest := make(map[string]string, len(r.targets))
	for key, t := range r.targets {
		other, taken := latest[t.Address]
		if !taken || r.items[key].Revision > r.items[other].Revision {
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
