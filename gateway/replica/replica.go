// Package replica holds a node's copy of what the platform's store says: the
// configuration, the targets and the nodes of the fleet.
//
// Copies are merged from several sources, the store itself and other nodes, in
// any order: of each key the highest revision counts, and a configuration is
// never replaced by an older one.
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

// maxLog is the number of latest changes that are kept for other nodes; one
// that is further behind gets everything.
const maxLog = 4096

// View is one state of the copy. It is immutable.
type View struct {
	// Revision is the store's revision up to which the view is complete.
	Revision platform.Revision
	// Config is the configuration in force, nil if none is known yet, and
	// Table its routes.
	Config *dynamic.Config
	Table  *routing.Table
	// Targets lists the usable targets of each service, by name.
	Targets map[string][]platform.Target
	// Nodes lists the nodes that have registered, by name.
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

// Target returns the run of a target with the given name.
func (v *View) Target(service, name string) (platform.Target, bool) {
	list := v.Targets[service]
	i, found := slices.BinarySearchFunc(list, name, func(t platform.Target, name string) int { return cmp.Compare(t.Name(), name) })
	if !found {
		return platform.Target{}, false
	}
	return list[i], true
}

// Replica is a node's copy. It is safe for use by many goroutines.
type Replica struct {
	log  hclog.Logger
	view atomic.Pointer[View]

	mu       sync.Mutex
	items    map[string]platform.Item
	revision platform.Revision
	// changes holds the latest changes by order of arrival; changesFrom is the
	// revision after which it is complete.
	changes     []platform.Item
	changesFrom platform.Revision
	// changed is closed and replaced at each change.
	changed chan struct{}

	config  *dynamic.Config
	table   *routing.Table
	targets map[string]platform.Target
	nodes   map[string]Node
}

// New returns a copy that knows nothing.
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

// View returns the present state.
func (r *Replica) View() *View { return r.view.Load() }

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Apply merges changes that are complete up to a revision. It reports whether
// anything was new.
func (r *Replica) Apply(changes []platform.Item, through platform.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := false
	for _, it := range changes {
		fresh = r.merge(it) || fresh
	}
	r.publish(through, fresh)
	return fresh
}

// Replace merges the whole content of the store as of a revision. Keys that are
// not in it were removed, unless keepTargets says that targets may be missing
// because they could not report for a while. It reports whether anything was new.
func (r *Replica) Replace(content []platform.Item, at platform.Revision, keepTargets bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := false
	present := make(map[string]bool, len(content))
	for _, it := range content {
		present[it.Key] = true
		fresh = r.merge(it) || fresh
	}
	for key, it := range r.items {
		kept := keepTargets && strings.HasPrefix(key, platform.TargetPrefix)
		if !present[key] && !it.Deleted && it.Revision <= at && !kept {
			fresh = r.merge(platform.Item{Key: key, Revision: at, Deleted: true}) || fresh
		}
	}
	r.publish(at, fresh)
	return fresh
}

// Changes returns what has changed after a revision and the revision to go on
// from. Whole says that it is the whole content instead.
func (r *Replica) Changes(after platform.Revision) (changes []platform.Item, through platform.Revision, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after >= r.revision {
		return nil, r.revision, false
	}
	if after < r.changesFrom || after == 0 {
		for _, it := range r.items {
			if !it.Deleted {
				changes = append(changes, it)
			}
		}
		return changes, r.revision, true
	}
	for _, it := range r.changes {
		if it.Revision > after {
			changes = append(changes, it)
		}
	}
	return changes, r.revision, false
}

// merge takes one item if it is newer than what is known.
func (r *Replica) merge(it platform.Item) bool {
	old, known := r.items[it.Key]
	if known && it.Revision <= old.Revision {
		return false
	}
	r.items[it.Key] = it
	r.changes = append(r.changes, it)
	if len(r.changes) > maxLog {
		drop := len(r.changes) - maxLog/2
		for _, gone := range r.changes[:drop] {
			r.changesFrom = max(r.changesFrom, gone.Revision)
		}
		r.changes = slices.Delete(r.changes, 0, drop)
	}
	r.decode(it)
	return true
}

// decode brings one item into the typed state.
func (r *Replica) decode(it platform.Item) {
	switch {
	case it.Key == platform.ConfigurationKey:
		r.decodeConfiguration(it)
	case strings.HasPrefix(it.Key, platform.TargetPrefix):
		delete(r.targets, it.Key)
		if it.Deleted {
			r.log.Info("target is gone from the store", "key", it.Key, "revision", it.Revision)
			return
		}
		t, err := platform.DecodeTarget(it.Key, it.Value)
		if err != nil {
			r.log.Warn("entry names no usable target", "error", err, "revision", it.Revision)
			return
		}
		r.targets[it.Key] = t
		r.log.Info("target listed", "target", t.ID, "service", t.Service, "address", t.Address,
			"leaving", t.Leaving, "slots", t.Slots, "revision", it.Revision)
	case strings.HasPrefix(it.Key, NodePrefix):
		delete(r.nodes, it.Key)
		if it.Deleted {
			return
		}
		n, err := DecodeNode(it.Value)
		if err != nil {
			r.log.Warn("entry names no usable node", "key", it.Key, "error", err)
			return
		}
		r.nodes[it.Key] = n
	}
}

func (r *Replica) decodeConfiguration(it platform.Item) {
	if it.Deleted {
		r.log.Warn("configuration was removed from the store; the one in force stays", "revision", it.Revision)
		return
	}
	cfg, err := platform.DecodeConfiguration(it.Value)
	if err != nil {
		r.log.Error("configuration refused; the one in force stays", "error", err, "revision", it.Revision)
		return
	}
	if r.config != nil && cfg.Revision <= r.config.Revision {
		r.log.Warn("older configuration ignored", "version", cfg.Revision, "in_force", r.config.Revision)
		return
	}
	r.config = cfg
	r.table = routing.NewTable(cfg)
	r.log.Info("configuration in force", "version", cfg.Revision, "revision", it.Revision, "routes", len(cfg.Routes))
}

// publish makes the merged state visible.
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

// targetsByService groups the targets. Of several at one address only the one
// that was written last can be there: the others have ended and their entries
// have not run out yet.
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
