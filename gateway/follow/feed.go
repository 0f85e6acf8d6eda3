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
}

// answers reports whether the relay has answered recently.
func (fd *feed) answers(now time.Time) bool { return now.Sub(fd.lastAnswer) < fd.wait+2*pollGrace }

// pollRelay polls a relay for changes until a call fails or the context ends. The
// relay does not hold the first poll, whose answer shows that the relay is in use.
// This also leaves time to connect to a relay that is starting.
func (f *Follower) pollRelay(ctx context.Context, n replica.Node, wait time.Duration) error {
	to := peerOf(n)
	notice, hold := false, time.Duration(0)
	for ctx.Err() == nil {
		after := f.cfg.Replica.View().Revision
		callCtx, cancel := context.WithTimeout(ctx, wait+pollGrace)
		var reply changesReply
		err := f.cfg.Transport.Call(callCtx, to, kindChanges, changesRequest{
			After: after, Wait: hold, NoticeOnly: notice, Fresh: f.wasFresh(n.Name),
		}, &reply)
		cancel()
		if err != nil {
			return err
		}
		if reply.Leaving {
			f.merge(n.Name, reply)
			return errLeaving
		}
		hold = wait
		f.recordAnswer(n.Name, reply.Age)
		if !notice {
			f.merge(n.Name, reply)
		} else if !f.awaitRevision(ctx, reply.Through) {
			notice = false
			continue
		}
		notice = f.sameZoneRelayAnswers(n.Name)
	}
	return ctx.Err()
}

// wasFresh reports whether a relay's replica was fresh when it last answered.
func (f *Follower) wasFresh(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	fd := f.feeds[name]
	return fd != nil && !fd.lastAnswer.IsZero() && fd.age < maxRelayAge
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
		if other != name && f.zoneDistance(fd.node) == 0 && fd.answers(now) && fd.age < maxRelayAge {
			return true
		}
	}
	return false
}

// merge applies a relay's reply to the replica.
func (f *Follower) merge(relay string, reply changesReply) {
	source := "relay " + relay
	if reply.Snapshot {
		f.cfg.Replica.Replace(source, reply.Changes, reply.Through, false)
		return
	}
	f.cfg.Replica.Apply(source, reply.Changes, reply.Through)
}

// peerOf returns the address and identity of a node for calls. The name of a seed is
// not known.
func peerOf(n replica.Node) control.Peer {
	if n.AvailabilityZone == "" {
		return control.Peer{ControlAddress: n.ControlAddress}
	}
	return control.Peer{Name: n.Name, AvailabilityZone: n.AvailabilityZone, ControlAddress: n.ControlAddress}
}
