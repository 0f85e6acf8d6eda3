// Package follow keeps a node's copy of the store current.
package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

// everything is the prefix of all keys.
const everything = ""

const (
	// readTimeout bounds the reading of the whole content.
	readTimeout = 800 * time.Millisecond
	// watchWait is how long the store holds one watch.
	watchWait = 25 * time.Second
	// watchGrace is how long after watchWait the answer to a watch may come.
	watchGrace = time.Second
	// retryMin and retryMax bound the wait before the store is asked again
	// after a failure; refused calls are charged, too.
	retryMin = 100 * time.Millisecond
	retryMax = 2 * time.Second
)

// Store is what a Follower needs of the platform's store.
type Store interface {
	RangeAll(ctx context.Context, prefix string) ([]platform.Item, platform.Revision, error)
	WatchPrefix(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Item, platform.Revision, error)
}

// Config holds what a Follower needs.
type Config struct {
	Store   Store
	Replica *replica.Replica
	Log     hclog.Logger
}

// Follower brings what changes in the store into the replica.
type Follower struct {
	cfg Config
}

// New returns a Follower; Run makes it work.
func New(cfg Config) *Follower { return &Follower{cfg: cfg} }

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil || errors.Is(err, platform.ErrCompacted) {
			failures = 0
			continue
		}
		wait := min(retryMin<<failures, retryMax)
		wait = wait/2 + rand.N(wait/2)
		failures = min(failures+1, 10)
		f.cfg.Log.Warn("the store does not answer", "error", err, "failures", failures, "next_ms", wait.Milliseconds())
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// follow reads the whole content and then its changes until a call fails.
func (f *Follower) follow(ctx context.Context) error {
	at, err := f.read(ctx)
	if err != nil {
		return err
	}
	f.cfg.Log.Info("store read", "revision", at)
	for {
		watchCtx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
		changes, next, err := f.cfg.Store.WatchPrefix(watchCtx, everything, at, watchWait)
		cancel()
		if err != nil {
			return err
		}
		f.cfg.Replica.Apply(changes, next)
		at = next
	}
}

func (f *Follower) read(ctx context.Context) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	content, at, err := f.cfg.Store.RangeAll(ctx, everything)
	if err != nil {
		return 0, err
	}
	f.cfg.Replica.Replace(content, at)
	return at, nil
}
