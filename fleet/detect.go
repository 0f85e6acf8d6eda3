package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/fleet/control"
)

const (
	// indirectProbers is the number of members asked to probe a member that
	// this node cannot reach.
	indirectProbers = 2
	// contactFreshness is the greatest age of this node's last successful
	// exchange at which it may declare other members gone.
	contactFreshness = 3 * time.Second
)

// forEachConcurrently runs fn for all members concurrently and waits for all of
// them.
func forEachConcurrently(members []Member, fn func(Member)) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() { fn(m) })
	}
	wg.Wait()
}

// recordContact records a successful exchange. After a pause, it ends the
// catching up unless a newer configuration is known than the one in force.
func (a *Agent) recordContact(now time.Time) {
	a.lastContact = now
	behind := a.highest.Newer(a.inForce.Load().document.Version) && !a.rejected[a.highest]
	a.catchingUp = a.catchingUp && behind
}

func (a *Agent) handlePing(context.Context, string, []byte) (any, error) { return empty{}, nil }

// probeIndirectly asks other members to probe a member that did not answer. If
// none of them reaches it, the member becomes a suspect, or gone if it is
// leaving.
func (a *Agent) probeIndirectly(m Member) {
	name := m.Name()
	current := a.table.entries[name].member
	if a.probing[name] || current.State != StateAlive && current.State != StateLeaving {
		return
	}
	a.probing[name] = true
	var probers []Member
	for _, h := range sample(a.rng, a.self.Name(), a.table.inState(StateAlive), indirectProbers+1) {
		if h.Name() != name && len(probers) < indirectProbers {
			probers = append(probers, h)
		}
	}
	pauseEpoch := a.pauseEpoch
	a.spawn(func(ctx context.Context) {
		reached := a.probeFrom(ctx, probers, m.Peer)
		a.post(func(now time.Time) {
			delete(a.probing, name)
			if !reached && pauseEpoch == a.pauseEpoch {
				a.suspect(name, current.Incarnation, now)
			}
		})
	})
}

// probeFrom reports whether any of the probers reaches the peer.
func (a *Agent) probeFrom(ctx context.Context, probers []Member, peer control.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*a.timing.ExchangeTimeout)
	defer cancel()
	var reached atomic.Bool
	forEachConcurrently(probers, func(h Member) {
		var r probeReply
		err := a.cfg.Transport.Call(ctx, h.Peer, kindProbe, probeRequest{Peer: peer}, &r)
		if err == nil && r.Reached {
			reached.Store(true)
		}
	})
	return reached.Load()
}

func (a *Agent) handleProbe(ctx context.Context, _ string, body []byte) (any, error) {
	var req probeRequest
	if err := control.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.timing.ExchangeTimeout)
	defer cancel()
	err := a.cfg.Transport.Call(ctx, req.Peer, kindPing, empty{}, nil)
	return probeReply{Reached: err == nil}, nil
}

// suspect marks an alive member as suspect and a leaving one as gone, unless a
// newer record of it has arrived.
func (a *Agent) suspect(name string, incarnation uint64, now time.Time) {
	m := a.table.entries[name].member
	if m.Incarnation != incarnation || m.State != StateAlive && m.State != StateLeaving {
		return
	}
	if m.State == StateLeaving {
		m.State = StateGone
	} else {
		m.State = StateSuspect
	}
	a.table.apply(m, now)
	a.buildView()
}

// expireSuspects declares the suspects gone that have not refuted the suspicion
// in time. A node that reaches no other member, or suspects half of the fleet,
// declares nobody gone, because it may itself be partitioned. Suspects are tried
// last in any case.
func (a *Agent) expireSuspects(now time.Time) {
	suspects := a.table.inState(StateSuspect)
	if now.Sub(a.lastContact) > contactFreshness || len(suspects) >= len(a.table.inState(StateAlive)) {
		return
	}
	for _, m := range suspects {
		if now.Sub(a.table.entries[m.Name()].since) < a.timing.Suspicion {
			continue
		}
		m.State = StateGone
		a.table.apply(m, now)
		a.emit(event.Event{
			Time: now, Kind: event.KindHomeMove, Rule: "member_gone", From: m.Name(),
			Evidence: event.Evidence{Wait: a.timing.Suspicion, Detail: "did not answer several members"},
		})
	}
}

// recheckAvoided contacts the members whose avoidance has expired. Those that
// answer are released; the others are avoided for longer.
func (a *Agent) recheckAvoided(now time.Time) {
	for _, name := range a.avoidances.due(now) {
		e, ok := a.table.entries[name]
		if !ok || e.member.State == StateGone {
			a.avoidances.release(name, now)
			continue
		}
		av := a.avoidances[name]
		// Until the check has ended, the member must not be due again.
		av.until = now.Add(2 * a.timing.ExchangeTimeout)
		a.avoidances[name] = av
		a.recheckMember(e.member)
	}
}

// recheckMember exchanges with a member. It releases the member if it answers;
// otherwise it extends the avoidance and starts an indirect probe.
func (a *Agent) recheckMember(m Member) {
	name := m.Name()
	own, pauseEpoch := a.ownExchange(), a.pauseEpoch
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, a.timing.ExchangeTimeout)
		defer cancel()
		var theirs exchange
		err := a.cfg.Transport.Call(ctx, m.Peer, kindExchange, own, &theirs)
		a.post(func(now time.Time) {
			if err == nil {
				a.mergeExchange(theirs, now)
				a.avoidances.release(name, now)
			} else if pauseEpoch == a.pauseEpoch {
				av := a.avoidances[name]
				// recordFailure ignores a member that is still avoided.
				av.until = time.Time{}
				a.avoidances[name] = av
				a.avoidances.recordFailure(name, now)
				a.probeIndirectly(m)
			}
			a.refreshAvoided()
		})
	})
}

// reconnectLost exchanges with one member that is gone or suspected, so that the
// end of a network partition is detected.
func (a *Agent) reconnectLost() {
	gone := a.table.inState(StateGone, StateSuspect)
	if picked := sample(a.rng, a.self.Name(), gone, 1); len(picked) > 0 {
		a.exchangeWith(picked[0], nil)
	}
}

// detectPause returns the current time. If the time has jumped since last, the
// process or its host was suspended, and the node's view of the fleet is out of
// date. Results of calls in flight are then no evidence against other members,
// the timeouts of suspects start again, and the node is not ready until another
// member has answered it.
func (a *Agent) detectPause(last time.Time) time.Time {
	now := time.Now()
	// The wall clock also advances while the whole machine is suspended; the
	// monotonic clock may not.
	gap := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
	if gap < a.timing.Pause {
		return now
	}
	a.pauseEpoch++
	a.table.resetAges(now)
	a.lastContact = now
	alone := len(a.table.inState(StateAlive)) <= 1
	a.catchingUp = !alone
	a.schedule.exchange = now
	a.schedule.storePoll = now.Add(jitter(a.rng, a.timing.Exchange))
	for _, m := range a.partners() {
		a.exchangeWith(m, nil)
	}
	a.emit(event.Event{
		Time: now, Kind: event.KindConfiguration, Rule: "resumed_after_pause",
		Evidence: event.Evidence{Wait: gap, Revision: a.inForce.Load().document.Version.Revision},
	})
	return now
}
