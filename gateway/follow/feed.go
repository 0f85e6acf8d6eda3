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
	notice, hold := false, time.Duration(0)
	for ctx.Err() == nil {
		reply, err := f.poll(ctx, n, hold, wait+pollGrace, notice)
		if err != nil {
			return err
		}
		if reply.Leaving {
			f.cfg.Log.Info("relay is shutting down", "relay", n.Name, "notice_only", notice, "snapshot", reply.Snapshot,
				"items", len(reply.Changes), "revision", reply.Through, "store_age_ms", reply.Age.Milliseconds())
			if f.accepts(reply) {
				f.merge(n.Name, reply)
			}
			return errLeaving
		}
		f.recordAnswer(n.Name, reply.Age)
		switch {
		case !f.accepts(reply):
			sleep(ctx, seedTimeout)
			continue
		case !notice:
			f.merge(n.Name, reply)
		case !f.awaitRevision(ctx, reply.Through):
			notice = false
			continue
		default:
			f.confirmByRelay(n.Name, reply)
		}
		hold = wait
		notice = f.sameZoneRelayAnswers(n.Name)
	}
	return ctx.Err()
}

// poll calls a relay once.
func (f *Follower) poll(ctx context.Context, n replica.Node, hold, timeout time.Duration, noticeOnly bool) (changesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply changesReply
	start := startCall()
	err := f.cfg.Transport.Call(ctx, peerOf(n), kindChanges, changesRequest{
		After: f.cfg.Replica.View().Revision, Wait: hold, NoticeOnly: noticeOnly, Fresh: f.wasFresh(n.Name), Age: f.CopyAge(),
	}, &reply)
	// The relay answered no earlier than this, whenever the answer is read.
	answered := start.time().Add(min(reply.Held, time.Since(start.at)))
	reply.confirmedAt = answered.Add(-reply.Age)
	reply.unbrokenSince = answered.Add(-reply.Unbroken)
	return reply, err
}

// accepts reports whether this node may use the content of a reply. A node that starts
// takes no old copy while the store may serve it a current one.
func (f *Follower) accepts(reply changesReply) bool {
	return reply.Age < maxCopyAge || f.cfg.Replica.View().Revision > 0 || f.storeHasFailed()
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
			if reply, err := f.poll(ctx, fd.node, 0, pollGrace, false); err == nil && f.accepts(reply) {
				f.merge(fd.node.Name, reply)
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

// awaitRevision waits until this node's replica has reached a revision. It returns
// false if noticeWait passes before.
func (f *Follower) awaitRevision(ctx context.Context, at platform.Revision) bool {
	timer := time.NewTimer(noticeWait)
	defer timer.Stop()
	for {
		changed := f.cfg.Replica.Changed()
		if f.cfg.Replica.View().Revision >= at {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return f.cfg.Replica.View().Revision >= at
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

// merge applies a relay's reply to the replica.
func (f *Follower) merge(relay string, reply changesReply) {
	f.cfg.Replica.Merge(sourceRelay+relay, replica.Delta{
		Items: reply.Changes, Through: reply.Through, Snapshot: reply.Snapshot, Lapsed: reply.Lapsed,
	})
	f.confirmByRelay(relay, reply)
}

// confirmByRelay records what a relay's reply says of this node's replica, which
// contains all changes of the reply.
func (f *Follower) confirmByRelay(relay string, reply changesReply) {
	f.mu.Lock()
	f.confirmations.adjust()
	f.confirmations.record(reply.confirmedAt, true)
	f.mu.Unlock()
	if reply.Age < maxCopyAge && f.servedDuringOutage(reply.unbrokenSince) {
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
