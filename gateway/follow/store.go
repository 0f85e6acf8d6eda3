package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

// everything is the prefix of all keys, nothing one that no key has.
const (
	everything = ""
	nothing    = replica.Prefix + "none/"
)

const (
	// readTimeout bounds the reading of the whole content.
	readTimeout = 900 * time.Millisecond
	// watchWait is how long the store holds one watch.
	watchWait = 25 * time.Second
	// watchGrace is how long after watchWait the answer to a watch may come.
	watchGrace = time.Second
	// checkInterval is how often a relay asks for the store's revision: a watch
	// may be dead without a sign, and changes must be in force within two seconds.
	checkInterval = time.Second
	// checkTimeout bounds that question.
	checkTimeout = 500 * time.Millisecond
	// hearTime is how long the watch may take to deliver what the revision
	// shows to have changed.
	hearTime = 150 * time.Millisecond
	// batchTime is how long changes are collected before the next watch, which
	// is a call that is charged.
	batchTime = 100 * time.Millisecond
	// retryMin and retryMax bound the wait before the store is asked again
	// after a failure; refused calls are charged, too.
	retryMin = 100 * time.Millisecond
	retryMax = 2 * time.Second
	// reportTime is how long after an outage of the store the targets whose
	// entries lapsed meanwhile may take to report again.
	reportTime = 2200 * time.Millisecond
	// outageMin is the time without the store that counts as an outage in
	// which entries may have lapsed.
	outageMin = time.Second
)

var errDeaf = errors.New("the watch did not deliver a change")

// followStore follows the store whenever this node has to.
func (f *Follower) followStore(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !f.needsStore(time.Now()) {
			sleep(ctx, manageInterval/2)
			continue
		}
		err := f.follow(ctx)
		if err == nil || errors.IsAny(err, platform.ErrCompacted, errDeaf) {
			failures = 0
			continue
		}
		wait := min(retryMin<<failures, retryMax)
		wait = wait/2 + rand.N(wait/2)
		failures = min(failures+1, 10)
		f.cfg.Log.Warn("the store does not answer", "error", err, "failures", failures, "next_ms", wait.Milliseconds())
		sleep(ctx, wait)
	}
}

// follow reads the whole content and then its changes, until a call fails or
// this node need not follow the store any more.
func (f *Follower) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	away, known := f.storeAge(), f.storeKnown()
	at, err := f.read(ctx, away)
	if err != nil {
		return err
	}
	if known {
		f.cfg.Log.Info("store read", "revision", at, "away_ms", away.Milliseconds())
	} else {
		f.cfg.Log.Info("store read for the first time", "revision", at)
	}
	w := &watch{f: f, ended: make(chan error, 1)}
	w.at.Store(int64(at))
	go func() { w.ended <- w.run(ctx) }()
	reread := (<-chan time.Time)(nil)
	if away > outageMin {
		reread = time.After(reportTime)
	}
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	review := time.NewTicker(manageInterval)
	defer review.Stop()
	for {
		select {
		case err := <-w.ended:
			return err
		case <-reread:
			reread = nil
			if _, err := f.read(ctx, 0); err != nil {
				return err
			}
		case <-review.C:
			if !f.needsStore(time.Now()) {
				return nil
			}
		case <-check.C:
			if err := f.check(ctx, w); err != nil {
				return err
			}
		}
	}
}

// read takes the whole content. After an outage, targets that are missing may
// still report again.
func (f *Follower) read(ctx context.Context, away time.Duration) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := time.Now()
	content, at, err := f.cfg.Store.RangeAll(ctx, everything)
	if err != nil {
		return 0, err
	}
	f.cfg.Replica.Replace(content, at, away > outageMin)
	f.noteStore(asked)
	return at, nil
}

// check compares the store's revision with what the watch has delivered.
func (f *Follower) check(ctx context.Context, w *watch) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	asked := time.Now()
	p, err := f.cfg.Store.Range(ctx, nothing, "")
	if err != nil {
		return err
	}
	if int64(p.Revision) > w.at.Load() {
		sleep(ctx, hearTime)
		if int64(p.Revision) > w.at.Load() {
			return errDeaf
		}
	}
	f.noteStore(asked)
	return nil
}

// sleep waits, or returns early when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
