package follow

import (
	"context"
	"time"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

const (
	// sameZoneWait and otherZoneWait are how long a relay of the same and of another
	// availability zone holds a poll while nothing changes. Its answer also shows
	// that it is alive. The wait is longer between zones, because bytes between zones
	// are charged; changes are answered immediately in any case.
	sameZoneWait  = 400 * time.Millisecond
	otherZoneWait = 2 * time.Second
	// noticeWait is how long changes that a relay of another zone gave notice of may
	// take to arrive from the relay of the same zone.
	noticeWait = 250 * time.Millisecond
	// ageCheckInterval is how often a relay that holds a poll checks whether the store
	// still confirms its replica.
	ageCheckInterval = 300 * time.Millisecond
	// pollGrace is how long after its wait the answer to a poll may arrive: a relay
	// whose host gets no processor time for 100 ms has not failed.
	pollGrace = 350 * time.Millisecond
	// pollPatience is how long the answer is waited for beyond that while other messages
	// of the relay arrive, as it may be behind them on a thin link.
	pollPatience = 1500 * time.Millisecond
)

// feed is the state of the polls of one relay.
type feed struct {
	node   replica.Node
	cancel context.CancelFunc
	// wait is how long the relay holds a poll.
	wait time.Duration
	// lastAnswer is when the relay last answered. age is how long before that the
	// store had confirmed the relay's replica.
	lastAnswer time.Time
	age        time.Duration
	// askedAt is when the relay was last asked beside the polls.
	askedAt time.Time
}

// answers reports whether the relay has answered recently.
func (fd *feed) answers(now time.Time) bool { return now.Sub(fd.lastAnswer) < fd.wait+2*pollGrace }

// pollRelay polls a relay for changes until a call fails or the context ends. The
// relay does not hold the first poll, whose answer shows that the relay is in use.
// This also leaves time to connect to a relay that is starting.
func (f *Follower) pollRelay(ctx context.Context, n replica.Node, wait time.Duration) error {
	notice, hold, differences := false, time.Duration(0), 0
	for ctx.Err() == nil {
		a, err := f.poll(ctx, n, hold, wait+pollGrace, notice)
		if err != nil {
			return err
		}
		if a.leaving {
			f.logLeaving(n.Name, a)
			f.merge(n.Name, a)
			return errLeaving
		}
		f.recordAnswer(n.Name, a.age)
		if a.differs {
			// One of the copies is wrong, so that this one is not confirmed.
			if differences++; differences >= differencesToRead {
				f.checkCopy(n.Name)
			}
			continue
		}
		differences = 0
		switch {
		case !f.accepts(a):
			sleep(ctx, seedTimeout)
			continue
		case a.content != nil:
			f.merge(n.Name, a)
		case !f.awaitRevision(ctx, a.through):
			notice = false
			continue
		default:
			f.confirmByRelay(n.Name, a)
		}
		hold = wait
		notice = f.sameZoneRelayAnswers(n.Name)
	}
	return ctx.Err()
}

// answer is a relay's answer to a poll.
type answer struct {
	// through is the revision up to which the relay's replica is complete.
	through platform.Revision
	// content holds the changes up to through since the revision of the poll, which may
	// be none. It is nil if the answer leaves them out.
	content *replica.Delta
	// leaving is set if the relay is about to shut down.
	leaving bool
	// differs is set if the relay's replica had the revision of the poll and other entries.
	differs bool
	// age is the time from confirmedAt, when the relay's replica was last confirmed, to
	// the answer. Without a gap it has been confirmed since unbrokenSince.
	age                        time.Duration
	confirmedAt, unbrokenSince time.Time
}

// poll calls a relay once.
func (f *Follower) poll(ctx context.Context, n replica.Node, hold, timeout time.Duration, noticeOnly bool) (answer, error) {
	polling, cancel := context.WithTimeout(ctx, timeout+pollPatience)
	defer cancel()
	var reply changesReply
	view := f.cfg.Replica.View()
	start := startCall()
	err := f.cfg.Transport.CallPatiently(polling, peerOf(n), kindChanges, changesRequest{
		After: view.Listed, Checksum: view.Checksum, Wait: hold, NoticeOnly: noticeOnly, Fresh: f.wasFresh(n.Name), Age: f.listedAge(), Fetches: true,
	}, &reply, timeout)
	if err != nil {
		return answer{}, err
	}
	age := max(reply.Age, 0)
	if reply.Through == 0 {
		age = neverConfirmed // the relay has no copy that could be confirmed
	}
	// The relay answered no earlier than this, whenever the answer is read.
	answered := start.time().Add(min(reply.Held, time.Since(start.at)))
	a := answer{
		through: reply.Through, leaving: reply.Leaving, differs: reply.Differs,
		age: age, confirmedAt: answered.Add(-age), unbrokenSince: answered.Add(-max(reply.Unbroken, 0)),
	}
	// A relay of an earlier version does not mark its notices.
	if !noticeOnly && !reply.Notice {
		a.content = &replica.Delta{
			Items: reply.Changes, Announced: reply.Announced, Through: reply.Through, Snapshot: reply.Snapshot, Lapsed: reply.Lapsed,
		}
		if reply.List.ID != 0 {
			a.content.Items, err = f.fetchList(ctx, n, reply.List)
		}
	}
	return a, err
}

// logLeaving logs what the last answer of a relay holds.
func (f *Follower) logLeaving(relay string, a answer) {
	fields := []any{"relay", relay, "notice_only", a.content == nil, "revision", a.through, "store_age_ms", a.age.Milliseconds()}
	if a.content != nil {
		fields = append(fields, "snapshot", a.content.Snapshot, "items", len(a.content.Items), "announced", len(a.content.Announced))
	}
	f.cfg.Log.Info("relay is shutting down", fields...)
}

// accepts reports whether this node may use an answer. A node that starts takes no old
// copy while the store may serve it a current one.
func (f *Follower) accepts(a answer) bool {
	return a.age < maxCopyAge || f.cfg.Replica.View().Listed > 0 || f.storeHasFailed()
}

// refreshCopy asks the relays to confirm this node's copy when it gets old, because a
// relay was lost. It saves the calls to the store if another relay is current.
func (f *Follower) refreshCopy(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if age := f.relayAge(now); age < refreshAge || age >= maxCopyAge {
		return
	}
	for _, fd := range f.feeds {
		if now.Sub(fd.askedAt) < refreshInterval {
			continue
		}
		fd.askedAt = now
		go func() {
			// The polls of the feed decide whether a relay that fails here is lost.
			if a, err := f.poll(ctx, fd.node, 0, pollGrace, false); err == nil {
				f.merge(fd.node.Name, a)
			}
		}()
	}
}

// wasFresh reports whether a relay's replica was fresh when it last answered.
func (f *Follower) wasFresh(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	fd := f.feeds[name]
	return fd != nil && !fd.lastAnswer.IsZero() && fd.age < maxCopyAge
}

// awaitRevision waits until this node's replica lists all changes up to a revision. It
// returns false if noticeWait passes before.
func (f *Follower) awaitRevision(ctx context.Context, at platform.Revision) bool {
	timer := time.NewTimer(noticeWait)
	defer timer.Stop()
	for {
		changed := f.cfg.Replica.Changed()
		if f.cfg.Replica.View().Listed >= at {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return f.cfg.Replica.View().Listed >= at
		case <-ctx.Done():
			return false
		}
	}
}

// sameZoneRelayAnswers reports whether a relay of this node's zone, other than the
// named one, answers with fresh changes: it sends them without bytes between zones.
func (f *Follower) sameZoneRelayAnswers(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for other, fd := range f.feeds {
		if other != name && f.zoneDistance(fd.node) == 0 && fd.answers(now) && fd.age < maxCopyAge {
			return true
		}
	}
	return false
}

// merge applies a relay's answer to the replica, if it has content that this node may
// use. Without it, the answer confirms nothing either.
func (f *Follower) merge(relay string, a answer) {
	if a.content == nil || !f.accepts(a) {
		return
	}
	if len(a.content.Announced) > 0 && len(f.cfg.Replica.View().Announced) == 0 {
		f.recordValueProgress()
	}
	f.cfg.Replica.Merge(sourceRelay+relay, *a.content)
	f.confirmByRelay(relay, a)
}

// confirmByRelay records what a relay's answer says of this node's replica, which
// contains all changes up to the revision of the answer but for announced values.
func (f *Follower) confirmByRelay(relay string, a answer) {
	f.mu.Lock()
	f.confirmations.adjust()
	if len(f.cfg.Replica.View().Announced) > 0 {
		f.confirmations.recordListed(a.confirmedAt)
	} else {
		f.confirmations.record(a.confirmedAt, true)
	}
	f.mu.Unlock()
	if a.age < maxCopyAge && f.servedDuringOutage(a.unbrokenSince) {
		f.cfg.Replica.EndLapses(sourceRelay + relay)
	}
}

// peerOf returns the address and identity of a node for calls. The name of a seed is
// not known.
func peerOf(n replica.Node) control.Peer {
	if n.AvailabilityZone == "" {
		return control.Peer{ControlAddress: n.ControlAddress}
	}
	return control.Peer{Name: n.Name, AvailabilityZone: n.AvailabilityZone, ControlAddress: n.ControlAddress}
}
