package follow

import (
	"context"
	"slices"
	"time"

	"filbertmill.example/platform"
)

// registerInterval is how often a node looks whether the store has its entry.
const registerInterval = 3 * time.Second

// keepRegistered writes this node's entry whenever the store has another or none.
func (f *Follower) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.registrationDue() {
			sleep(ctx, manageInterval)
			continue
		}
		f.register(ctx)
		sleep(ctx, registerInterval)
	}
}

// registrationDue reports whether the copy of the store lacks this node.
func (f *Follower) registrationDue() bool {
	view := f.cfg.Replica.View()
	return view.Revision > 0 && !f.leaving.Load() && !slices.Contains(view.Nodes, f.cfg.Self)
}

// register writes this node's entry.
func (f *Follower) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	self := f.cfg.Self
	rev, err := f.cfg.Store.Txn(ctx, nil, []platform.Put{{Key: self.Key(), Value: self.Encode()}})
	if err != nil {
		f.cfg.Log.Warn("node not registered", "key", self.Key(), "error", err)
		return
	}
	f.cfg.Log.Info("node registered", "key", self.Key(), "revision", rev)
}
