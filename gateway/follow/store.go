package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

// allKeys is a prefix of all keys. noKeys is a prefix of none.
const (
	allKeys = ""
	noKeys  = replica.Prefix + "none/"
)

const (
	// readTimeout is the time in which a full snapshot must be read.
	readTimeout = 900 * time.Millisecond
	// watchWait is how long the store may hold one watch call without a change.
	watchWait = 25 * time.Second
	// watchGrace is how long after watchWait the answer to a watch call may arrive.
	watchGrace = time.Second
	// checkInterval is how often a relay reads the store's revision: a watch may
	// stall without an error, and changes must be in force within two seconds.
	checkInterval = time.Second
	// checkTimeout is the timeout of that call.
	checkTimeout = 500 * time.Millisecond
	// watchDeliveryTime is how long the watch may take to deliver a change after the
	// store's revision has shown it.
	watchDeliveryTime = 150 * time.Millisecond
	// batchInterval is the wait before the next watch call. Changes are collected in
	// the meantime, because each call is charged.
	batchInterval = 100 * time.Millisecond
	// retryMin and retryMax limit the backoff before the store is called again after
	// a failure. Refused calls are charged, too.
	retryMin = 100 * time.Millisecond
	retryMax = 2 * time.Second
)

// Sources of changes, as log lines name them.
const (
	sourceRead  = "store read"
	sourceWatch = "store watch"
	sourceRelay = "relay "
)

var errWatchStalled = errors.New("the watch did not deliver a change")

// followStore follows the store whenever this node needs to, until the context ends.
func (f *Follower) followStore(ctx context.Context) {
	failures, resume := 0, true
	for ctx.Err() == nil {
		if !f.needsStore(time.Now()) {
			sleep(ctx, reconcileInterval/2)
			continue
		}
		err := f.follow(ctx, resume && f.mayResume())
		resume = err == nil
		if err == nil || errors.IsAny(err, platform.ErrCompacted, errWatchStalled, errCopyDiffers) {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.recordStoreFailure()
		wait := min(retryMin<<failures, retryMax)
		wait = wait/2 + rand.N(wait/2)
		failures = min(failures+1, 10)
		f.cfg.Log.Warn("the store does not answer", "error", err, "failures", failures, "next_ms", wait.Milliseconds())
		sleep(ctx, wait)
	}
}

// follow applies the changes of the store after the revision up to which the replica is
// complete, until a call fails or this node no longer needs to follow the store. It
// first reads a full snapshot, unless resume is set.
func (f *Follower) follow(ctx context.Context, resume bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	at := f.cfg.Replica.View().Revision
	var asked revisionAnswer
	var err error
	if resume {
		asked, err = f.askRevision(ctx)
	} else {
		at, err = f.readSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	w := &watch{follower: f, ended: make(chan error, 1)}
	w.at.Store(int64(at))
	go func() { w.ended <- w.run(ctx) }()
	if resume {
		f.cfg.Log.Info("store followed from the relays' revision", "revision", at, "copy_age_ms", f.CopyAge().Milliseconds())
		if err := f.awaitWatch(ctx, w, asked); err != nil {
			return err
		}
	}
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	review := time.NewTicker(reconcileInterval)
	defer review.Stop()
	for {
		select {
		case err := <-w.ended:
			return err
		case <-review.C:
			if f.mustRead() {
				return errCopyDiffers
			}
			if !f.needsStore(time.Now()) {
				return nil
			}
		case <-check.C:
			if err := f.checkWatch(ctx, w); err != nil {
				return err
			}
		}
	}
}

// readSnapshot reads a full snapshot of the store into the replica.
func (f *Follower) readSnapshot(ctx context.Context) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	age, start := f.CopyAge(), startCall()
	content, at, err := f.cfg.Store.RangeAll(ctx, allKeys)
	if err != nil {
		return 0, err
	}
	if age >= neverConfirmed {
		f.cfg.Log.Info("store read for the first time", "revision", at)
	} else {
		f.cfg.Log.Info("store read", "revision", at, "copy_age_ms", age.Milliseconds())
	}
	f.cfg.Replica.Replace(sourceRead, content, at, f.beginOutageGrace())
	f.recordConfirmation(start.time())
	f.recordRead()
	return at, nil
}

// revisionAnswer is the store's revision at the time of a call.
type revisionAnswer struct {
	revision platform.Revision
	call     callStart
}

// askRevision asks the store for its revision.
func (f *Follower) askRevision(ctx context.Context) (revisionAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	start := startCall()
	p, err := f.cfg.Store.Range(ctx, noKeys, "")
	return revisionAnswer{p.Revision, start}, err
}

// checkWatch compares the store's revision with the one that the watch has delivered.
// It returns errWatchStalled if the watch does not deliver a change in time.
func (f *Follower) checkWatch(ctx context.Context, w *watch) error {
	asked, err := f.askRevision(ctx)
	if err != nil {
		return err
	}
	return f.awaitWatch(ctx, w, asked)
}

// awaitWatch waits until the watch has delivered the changes up to a revision of the
// store, which confirms the replica.
func (f *Follower) awaitWatch(ctx context.Context, w *watch, asked revisionAnswer) error {
	if int64(asked.revision) > w.at.Load() {
		sleep(ctx, watchDeliveryTime)
		if int64(asked.revision) > w.at.Load() {
			return errWatchStalled
		}
	}
	f.recordConfirmation(asked.call.time())
	return nil
}

// sleep waits, or returns early when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
