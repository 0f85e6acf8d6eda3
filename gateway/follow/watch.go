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
	at atomic.Int64
	// receiving is set while an answer arrives.
	receiving atomic.Bool
	ended     chan error
}

// arriving reports whether an answer is arriving. If no bytes of it do, the call fails.
func (w *watch) arriving() bool { return w.receiving.Load() }

// run watches until a call fails.
func (w *watch) run(ctx context.Context) error {
	for {
		// What relays have delivered meanwhile need not come again over a thin link.
		if known := int64(w.follower.cfg.Replica.View().Revision); known > w.at.Load() {
			w.at.Store(known)
		}
		start, limits := startCall(), patience()
		limits.OnBytes = func() { w.receiving.Store(true) }
		changes, next, err := w.follower.cfg.Store.WatchPrefix(ctx, allKeys, platform.Revision(w.at.Load()), watchWait, limits)
		if err != nil {
			return err
		}
		w.follower.cfg.Replica.Apply(sourceWatch, changes, next)
		w.at.Store(int64(next))
		w.receiving.Store(false)
		w.follower.recordConfirmation(start.time())
		sleep(ctx, batchInterval)
	}
}
