package follow

import (
	"context"
	"time"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

const (
	// nearWait and farWait are how long a relay of the own and of another
	// availability zone holds a question; its answer also shows that it lives.
	// Bytes between zones are charged, and changes are told at once anyway.
	nearWait = 400 * time.Millisecond
	farWait  = 2 * time.Second
	// noticeWait is how long the changes that a far relay gave notice of may take
	// to come from the near one.
	noticeWait = 250 * time.Millisecond
	// lookInterval is how often a relay that holds a question looks whether the
	// store still confirms its copy.
	lookInterval = 300 * time.Millisecond
	// pollGrace is how long after its wait the answer may come: a host that is
	// out of processor time for a tenth of a second is not lost.
	pollGrace = 350 * time.Millisecond
)

// feed is what a node knows of one relay that it asks.
type feed struct {
	node   replica.Node
	cancel context.CancelFunc
	// wait is how long it holds a question.
	wait time.Duration
	// heard is when the relay last answered; age is how long ago the store had
	// then confirmed its copy.
	heard time.Time
	age   time.Duration
}

// answers says whether the relay has answered lately.
func (d *feed) answers(now time.Time) bool { return now.Sub(d.heard) < d.wait+2*pollGrace }

// ask asks a relay for changes until it fails or the context ends.
func (f *Follower) ask(ctx context.Context, n replica.Node, wait time.Duration) error {
	to := peerOf(n)
	notice := false
	for ctx.Err() == nil {
		after := f.cfg.Replica.View().Revision
		callCtx, cancel := context.WithTimeout(ctx, wait+pollGrace)
		var u update
		err := f.cfg.Transport.Call(callCtx, to, kindChanges, question{
			After: after, Wait: wait, NoticeOnly: notice, Fresh: f.lastFresh(n.Name),
		}, &u)
		cancel()
		if err != nil {
			return err
		}
		if u.Leaving {
			f.merge(u)
			return errLeaving
		}
		f.noteHeard(n.Name, u.Age)
		if !notice {
			f.merge(u)
		} else if !f.awaitRevision(ctx, u.Through) {
			notice = false
			continue
		}
		notice = f.otherTells(n.Name)
	}
	return ctx.Err()
}

// lastFresh says whether a relay's copy was fresh when it last answered.
func (f *Follower) lastFresh(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	fd := f.feeds[name]
	return fd != nil && !fd.heard.IsZero() && fd.age < freshAge
}

// awaitRevision waits until this node's copy has reached a revision.
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

// otherTells says whether a relay of this node's zone other than the named one
// answers: it tells the changes without bytes between zones.
func (f *Follower) otherTells(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for other, fd := range f.feeds {
		if other != name && f.far(fd.node) == 0 && fd.answers(now) && fd.age < freshAge {
			return true
		}
	}
	return false
}

// merge takes an update into the replica.
func (f *Follower) merge(u update) {
	if u.Whole {
		f.cfg.Replica.Replace(u.Changes, u.Through, false)
		return
	}
	f.cfg.Replica.Apply(u.Changes, u.Through)
}

// peerOf says how a node is reached. A seed's name is not known.
func peerOf(n replica.Node) control.Peer {
	if n.AvailabilityZone == "" {
		return control.Peer{ControlAddress: n.ControlAddress}
	}
	return control.Peer{Name: n.Name, AvailabilityZone: n.AvailabilityZone, ControlAddress: n.ControlAddress}
}
