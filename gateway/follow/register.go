package follow

import (
	"context"
	"slices"
	"time"

	"filbertmill.example/platform"
)

// registerInterval is the least time between two writes of a node's entry.
const registerInterval = 3 * time.Second

// keepRegistered writes this node's entry whenever the store has a different one or
// none, until the context ends.
func (f *Follower) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.registrationDue() {
			sleep(ctx, reconcileInterval)
			continue
		}
		f.register(ctx)
		sleep(ctx, registerInterval)
	}
}

// registrationDue reports whether this node's entry is missing in the replica or
// differs.
func (f *Follower) registrationDue() bool {
	view := f.cfg.Replica.View()
	return view.Revision > 0 && !f.leaving.Load() && !slices.Contains(view.Nodes, f.cfg.Self)
}

// register writes this node's entry.
func (f *Follower) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := f.cfg.Self
	rev, err := f.cfg.Store.Txn(ctx, nil, []platform.Put{{Key: self.Key(), Value: self.Encode()}})
	if err != nil {
		f.cfg.Log.Warn("node not registered", "key", self.Key(), "error", err)
		return
	}
	f.mu.Lock()
	f.registeredAt = time.Now()
	f.mu.Unlock()
	f.cfg.Log.Info("node registered", "key", self.Key(), "revision", rev)
}
