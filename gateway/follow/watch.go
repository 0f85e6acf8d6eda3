package follow

import (
	"context"
	"sync/atomic"

	"filbertmill.example/platform"
)

// watch applies the store's changes to the replica.
type watch struct {
	follower *Follower
	// at is the store revision up to which changes were delivered.
	at    atomic.Int64
	ended chan error
}

// run watches until a call fails.
func (w *watch) run(ctx context.Context) error {
	for {
		start := startCall()
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
		changes, next, err := w.follower.cfg.Store.WatchPrefix(callCtx, allKeys, platform.Revision(w.at.Load()), watchWait)
		cancel()
		if err != nil {
			return err
		}
		w.follower.cfg.Replica.Apply(sourceWatch, changes, next)
		w.at.Store(int64(next))
		w.follower.recordConfirmation(start.time())
		sleep(ctx, batchInterval)
	}
}
