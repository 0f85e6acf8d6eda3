package follow

import (
	"context"
	"sync/atomic"
	"time"

	"filbertmill.example/platform"
)

// watch brings the store's changes into the replica.
type watch struct {
	f *Follower
	// at is the revision up to which changes were delivered.
	at    atomic.Int64
	ended chan error
}

// run watches until a call fails.
func (w *watch) run(ctx context.Context) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
		changes, next, err := w.f.cfg.Store.WatchPrefix(callCtx, everything, platform.Revision(w.at.Load()), watchWait)
		cancel()
		if err != nil {
			return err
		}
		w.f.cfg.Replica.Apply(changes, next)
		w.at.Store(int64(next))
		w.f.noteStore(time.Now())
		sleep(ctx, batchTime)
	}
}
