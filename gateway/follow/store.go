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
	// callTimeout is the time in which the answer to a call must begin to arrive, and the
	// longest time without a byte of it after that.
	callTimeout = 900 * time.Millisecond
	// readingLife is how long after its start a read of the store may go on from the pages
	// that it has: the changes since its first page have to be in the store's history.
	readingLife = 5 * time.Second
	// watchWait is how long the store may hold one watch call without a change.
	watchWait = 25 * time.Second
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

// reading is a read of the store that may have failed within.
type reading struct {
	listing *platform.Listing
	start   callStart
}

// patience returns the limits of a call to the store, whose answer may be large and the
// link thin.
func patience() platform.Patience {
	return platform.Patience{Begin: callTimeout, Silence: callTimeout}
}

// readSnapshot reads a full snapshot of the store into the replica. After a failure, the
// next call goes on with the pages that this one has read.
func (f *Follower) readSnapshot(ctx context.Context) (platform.Revision, error) {
	if f.reading == nil || time.Since(f.reading.start.time()) > readingLife {
		f.reading = &reading{listing: platform.NewListing(allKeys), start: startCall()}
	}
	r, age := f.reading, f.CopyAge()
	if err := f.cfg.Store.ReadListing(ctx, r.listing, patience()); err != nil {
		return 0, err
	}
	f.reading = nil
	at := r.listing.Revision
	if age >= neverConfirmed {
		f.cfg.Log.Info("store read for the first time", "revision", at)
	} else {
		f.cfg.Log.Info("store read", "revision", at, "copy_age_ms", age.Milliseconds(), "took_ms", time.Since(r.start.at).Milliseconds())
	}
	f.cfg.Replica.Replace(sourceRead, r.listing.Items, at, f.beginOutageGrace())
	f.recordConfirmation(r.start.time())
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
		if w.arriving() {
			return nil
		}
		return err
	}
	return f.awaitWatch(ctx, w, asked)
}

// awaitWatch waits until the watch has delivered the changes up to a revision of the
// store, which confirms the replica. It does not wait for a large answer that is arriving,
// whose end confirms the replica, too.
func (f *Follower) awaitWatch(ctx context.Context, w *watch, asked revisionAnswer) error {
	if int64(asked.revision) > w.at.Load() {
		sleep(ctx, watchDeliveryTime)
		switch {
		case int64(asked.revision) <= w.at.Load():
		case w.arriving():
			return nil
		default:
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
