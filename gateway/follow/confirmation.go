package follow

import (
	"context"
	"time"

	"filbertmill.example/gateway/suspend"
)

const (
	// maxCopyAge is the age of this node's copy from which on it follows the store
	// itself. Changes must be in force within two seconds, which leaves 0.6 s for the
	// calls.
	maxCopyAge = 1400 * time.Millisecond
	// refreshAge is the age from which on a node asks its relays for a confirmation
	// instead of waiting for the answers to its polls.
	refreshAge = 1200 * time.Millisecond
	// refreshInterval is the least time between two such questions to one relay.
	refreshInterval = 300 * time.Millisecond
	// confirmationStep is by how much the copy of a relay must be younger than that of
	// the node that polls it for an answer without changes.
	confirmationStep = 500 * time.Millisecond
	// requiredAge is the age of a copy from which on requests wait for a confirmation:
	// changes must be in force by then. awaitConfirmation is how long they do at most.
	requiredAge       = 2 * time.Second
	awaitConfirmation = 300 * time.Millisecond
	// neverConfirmed is the least age of a copy that was never confirmed.
	neverConfirmed = 365 * 24 * time.Hour
	// minOutage is the shortest time without the store in which entries of targets that
	// live may have expired.
	minOutage = time.Second
	// targetReportTime is how long after an outage of the store the targets whose
	// entries expired during the outage may take to report again.
	targetReportTime = 2200 * time.Millisecond
)

// confirmations tells since when this node's copy of the store is certainly complete. A
// confirmation is a time at which the copy held all changes that the store had made. It
// comes from a call to the store, or from a relay together with the changes up to it,
// and dates from the beginning of the call.
type confirmations struct {
	// last is the latest confirmation, and lastByRelay the latest that came from a
	// relay. They are zero if there is none.
	last, lastByRelay time.Time
	// listed is the latest time at which, by a relay, only announced values were missing.
	listed time.Time
	// unbrokenSince is since when no two confirmations are further apart than
	// maxCopyAge.
	unbrokenSince time.Time
	// failedAt is when a call of this node to the store last failed.
	failedAt time.Time
	// outageFrom is the last confirmation before the latest outage of the store.
	outageFrom time.Time
	// renewed is closed and replaced on each confirmation.
	renewed chan struct{}
	// suspended is the total time of suspensions when the times above were last
	// adjusted.
	suspended time.Duration
}

// record records a confirmation, if it is the latest one.
func (c *confirmations) record(at time.Time, byRelay bool) {
	if byRelay && at.After(c.lastByRelay) {
		c.lastByRelay = at
	}
	if !at.After(c.last) {
		return
	}
	if at.Sub(c.last) > maxCopyAge {
		c.unbrokenSince = at
	}
	c.last = at
	close(c.renewed)
	c.renewed = make(chan struct{})
}

// recordListed records a time at which the copy held all but the announced values. The
// relay has done its part, so that it counts as its confirmation.
func (c *confirmations) recordListed(at time.Time) {
	if at.After(c.listed) {
		c.listed = at
	}
	if at.After(c.lastByRelay) {
		c.lastByRelay = at
	}
}

// complete records that the announced values have arrived.
func (c *confirmations) complete() {
	if !c.listed.IsZero() {
		c.record(c.listed, true)
	}
}

// adjust moves all times back by the time for which the host was suspended in the
// meantime, so that ages count it.
func (c *confirmations) adjust() {
	d := suspend.Since(c.suspended)
	if d == 0 {
		return
	}
	c.suspended += d
	for _, t := range []*time.Time{&c.last, &c.lastByRelay, &c.listed, &c.unbrokenSince, &c.failedAt, &c.outageFrom} {
		if !t.IsZero() {
			*t = t.Add(-d)
		}
	}
}

// callStart is the time at which a call began.
type callStart struct {
	at        time.Time
	suspended time.Duration
}

func startCall() callStart { return callStart{time.Now(), suspend.Total()} }

// time returns the start of the call on a clock that counts suspensions since then.
func (c callStart) time() time.Time { return c.at.Add(-suspend.Since(c.suspended)) }

// recordConfirmation records that the store confirmed this node's replica as of the
// given time.
func (f *Follower) recordConfirmation(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmations.adjust()
	f.confirmations.record(at, false)
}

// recordStoreFailure records that a call of this node to the store failed.
func (f *Follower) recordStoreFailure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmations.failedAt = time.Now()
}

// confirmation returns the time as of which this node's replica is certainly complete,
// and a channel that is closed on the next confirmation.
func (f *Follower) confirmation() (last time.Time, renewed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmations.adjust()
	if f.confirmations.last.IsZero() {
		return f.started.Add(-neverConfirmed), f.confirmations.renewed
	}
	return f.confirmations.last, f.confirmations.renewed
}

// CopyAge returns the time since this node's replica was last confirmed, by the store
// or by a relay. If it never was, the result exceeds every limit on the age.
func (f *Follower) CopyAge() time.Duration {
	last, _ := f.confirmation()
	return time.Since(last)
}

// listedAge returns the time since this node's replica was last complete but for announced
// values, by the store or by a relay. A relay has nothing to add to it if its own copy is no
// younger.
func (f *Follower) listedAge() time.Duration {
	last, _ := f.confirmation()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmations.listed.After(last) {
		last = f.confirmations.listed
	}
	return time.Since(last)
}

// unbroken returns for how long this node's replica has been confirmed without a gap.
func (f *Follower) unbroken() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmations.unbrokenSince.IsZero() {
		return 0
	}
	return time.Since(f.confirmations.unbrokenSince)
}

// relayAge returns the age of this node's replica by the word of relays alone. It must
// be called with mu held.
func (f *Follower) relayAge(now time.Time) time.Duration {
	f.confirmations.adjust()
	if f.confirmations.lastByRelay.IsZero() {
		return neverConfirmed
	}
	return now.Sub(f.confirmations.lastByRelay)
}

// beginOutageGrace returns how long targets stay usable whose entries are missing in the
// store, which is read now. They do only after an outage: calls of this node have
// failed since the last confirmation, which no relay had either.
func (f *Follower) beginOutageGrace() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmations.adjust()
	c := &f.confirmations
	if c.last.IsZero() || !c.failedAt.After(c.last) || time.Since(c.last) < minOutage {
		return 0
	}
	c.outageFrom = c.last
	return targetReportTime
}

// AwaitCurrent waits until this node's copy is current, if it is not and nothing has
// shown yet that the store is away: after a pause of the process, a request would
// otherwise be served by the copy from before. It waits awaitConfirmation at most.
func (f *Follower) AwaitCurrent(ctx context.Context) {
	var timeout <-chan time.Time
	for {
		last, renewed := f.confirmation()
		if age := time.Since(last); age < requiredAge || age >= neverConfirmed || f.failedSince(last) {
			return
		}
		if timeout == nil {
			timer := time.NewTimer(awaitConfirmation)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-renewed:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// failedSince reports whether a call of this node to the store has failed after the
// given time.
func (f *Follower) failedSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmations.failedAt.After(t)
}

// mayResume reports whether this node may follow the store from its replica's revision
// on: the replica was confirmed and is not known to differ from others, and nothing
// indicates an outage since, in which entries of targets that live may have expired.
func (f *Follower) mayResume() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.confirmations
	return !f.readDue && !c.last.IsZero() && !c.failedAt.After(c.last)
}

// storeHasFailed reports whether a call of this node to the store has ever failed.
func (f *Follower) storeHasFailed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.confirmations.failedAt.IsZero()
}

// servedDuringOutage reports whether a source that was confirmed without a gap since
// the given time shows that the latest outage was not one of the store: only this node
// was without it.
func (f *Follower) servedDuringOutage(unbrokenSince time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.confirmations.outageFrom.IsZero() && !unbrokenSince.After(f.confirmations.outageFrom)
}
