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
	// indirectProbers is the number of members asked to try one that this node
	// cannot reach.
	indirectProbers = 2
	// contactFreshness is how recent this node's last successful exchange
	// must be for it to judge others.
	contactFreshness = 3 * time.Second
)

// forEachConcurrently runs fn for all members at once and waits.
func forEachConcurrently(members []Member, fn func(Member)) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() { fn(m) })
	}
	wg.Wait()
}

// recordContact records a successful exchange.
func (a *Agent) recordContact(now time.Time) {
	a.lastContact = now
	behind := a.highest.Newer(a.inForce.Load().document.Version) && !a.rejected[a.highest]
	a.catchingUp = a.catchingUp && behind
}

func (a *Agent) handlePing(context.Context, string, []byte) (any, error) { return empty{}, nil }

// probeIndirectly asks others to try a member that did not answer; if none of them
// reaches it, it is suspected.
func (a *Agent) probeIndirectly(m Member) {
	name := m.Name()
	current := a.table.entries[name].member
	if a.probing[name] || current.State != StateAlive && current.State != StateLeaving {
		return
	}
	a.probing[name] = true
	var through []Member
	for _, h := range sample(a.rng, a.self.Name(), a.table.inState(StateAlive), indirectProbers+1) {
		if h.Name() != name && len(through) < indirectProbers {
			through = append(through, h)
		}
	}
	pauseEpoch := a.pauseEpoch
	a.spawn(func(ctx context.Context) {
		reached := a.probeThrough(ctx, through, m.Peer)
		a.post(func(now time.Time) {
			delete(a.probing, name)
			if !reached && pauseEpoch == a.pauseEpoch {
				a.suspect(name, current.Incarnation, now)
			}
		})
	})
}

func (a *Agent) probeThrough(ctx context.Context, through []Member, peer control.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*a.timing.ExchangeTimeout)
	defer cancel()
	var reached atomic.Bool
	forEachConcurrently(through, func(h Member) {
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

// expireSuspects declares suspects gone that did not refute in time. A node
// that reaches nobody, or suspects half of the fleet, judges nobody: it may be
// itself that is cut off. Suspects are tried last in any case.
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

// recheckAvoided tries the members whose avoidance is over. Those that answer
// are released; the others are avoided for longer.
func (a *Agent) recheckAvoided(now time.Time) {
	for _, name := range a.avoidances.due(now) {
		e, ok := a.table.entries[name]
		if !ok || e.member.State == StateGone {
			a.avoidances.release(name, now)
			continue
		}
		av := a.avoidances[name]
		av.until = now.Add(2 * a.timing.ExchangeTimeout)
		a.avoidances[name] = av
		a.recheckMember(e.member)
	}
}

// recheckMember releases a member if it answers and avoids it anew if not.
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
				av.until = time.Time{}
				a.avoidances[name] = av
				a.avoidances.recordFailure(name, now)
				a.probeIndirectly(m)
			}
			a.refreshAvoided()
		})
	})
}

// reconnectLost tries one member that is believed gone or suspected, so that a
// healed partition is noticed.
func (a *Agent) reconnectLost() {
	gone := a.table.inState(StateGone, StateSuspect)
	if picked := sample(a.rng, a.self.Name(), gone, 1); len(picked) > 0 {
		a.exchangeWith(picked[0], nil)
	}
}

// detectPause returns the time and, if it has jumped since the last look,
// treats all beliefs as old: running calls say nothing of others, suspects
// get their time anew, and the node is not ready until it has heard somebody.
func (a *Agent) detectPause(last time.Time) time.Time {
	now := time.Now()
	// The wall clock also moves while the whole machine sleeps.
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
