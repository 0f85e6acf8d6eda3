package routing

import "filbertmill.example/config/dynamic"

// Workspaces finds the workspace of a key. It is immutable. A nil *Workspaces stands
// for a configuration without workspaces.
type Workspaces struct {
	byKey, byName map[string]*dynamic.Workspace
	limited       bool
}

// NewWorkspaces indexes the workspaces of a configuration, or returns nil if there are
// none.
func NewWorkspaces(cfg *dynamic.Config) *Workspaces {
	if len(cfg.Workspaces) == 0 {
		return nil
	}
	keys := 0
	for i := range cfg.Workspaces {
		keys += len(cfg.Workspaces[i].Keys)
	}
	w := &Workspaces{
		byKey: make(map[string]*dynamic.Workspace, keys), byName: make(map[string]*dynamic.Workspace, len(cfg.Workspaces)),
	}
	for i := range cfg.Workspaces {
		w.byName[cfg.Workspaces[i].Name] = &cfg.Workspaces[i]
		w.limited = w.limited || cfg.Workspaces[i].Rate > 0
		for _, key := range cfg.Workspaces[i].Keys {
			w.byKey[key] = &cfg.Workspaces[i]
		}
	}
	return w
}

// ByKey returns the workspace that holds the key, or nil.
func (w *Workspaces) ByKey(key []byte) *dynamic.Workspace { return w.byKey[string(key)] }

// ByName returns the workspace with the given name, or nil.
func (w *Workspaces) ByName(name string) *dynamic.Workspace {
	if w == nil {
		return nil
	}
	return w.byName[name]
}

// Limited reports whether any workspace has a quota.
func (w *Workspaces) Limited() bool { return w != nil && w.limited }
