package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"filbertmill.example/fleet/control"
)

const (
	// rumorsPerExchange is the largest number of rumors sent in one message.
	rumorsPerExchange = 16
	// bucketsPerPull is the largest number of buckets fetched in one periodic
	// comparison of tables.
	bucketsPerPull = 8
)

// register sets the handlers of the messages from other nodes.
func (a *Agent) register() {
	t := a.cfg.Transport
	t.Handle(kindExchange, a.handleExchange)
	t.Handle(kindDigests, a.handleDigests)
	t.Handle(kindRecords, a.handleRecords)
	t.Handle(kindPing, a.handlePing)
	t.Handle(kindProbe, a.handleProbe)
	t.Handle(kindRevision, a.handleRevision)
	t.Handle(kindDocument, a.handleDocument)
	t.Handle(kindStatus, a.handleStatus)
}

// partners returns the gossip partners: the members with which this node
// exchanges periodically.
func (a *Agent) partners() []Member {
	out := slices.Clone(a.ring())
	for _, m := range a.sampledPartners {
		current := a.table.entries[m.Name()].member
		known := slices.ContainsFunc(out, func(o Member) bool { return o.Name() == m.Name() })
		if !known && current.State == StateAlive {
			out = append(out, current)
		}
	}
	return out
}

// ring returns the members that this node monitors for failures.
func (a *Agent) ring() []Member {
	if a.ringGeneration != a.table.generation {
		a.ringGeneration = a.table.generation
		a.ringMembers = ringAfter(a.self.Name(), a.table.inState(StateAlive, StateLeaving), ringPartnerCount)
	}
	return a.ringMembers
}

// ownExchange returns the message that this node sends in an exchange. Each call
// counts as one transmission of the rumors in it.
func (a *Agent) ownExchange() exchange {
	return exchange{
		Self:    a.self,
		InForce: a.inForce.Load().document.Version,
		Highest: a.highest,
		Summary: a.table.summary(),
		Rumors:  a.table.takeRumors(rumorsPerExchange),
	}
}

// exchangeWithNext starts an exchange with the next partner, in round-robin
// order.
func (a *Agent) exchangeWithNext() {
	partners := a.partners()
	if len(partners) == 0 {
		return
	}
	a.exchangeRound++
	m := partners[a.exchangeRound%len(partners)]
	a.exchangeWith(m, func(now time.Time) { a.probeIndirectly(m) })
}

// exchangeWith starts an exchange with a member. If the member does not answer,
// failed runs, unless it is nil or this node was suspended during the call.
func (a *Agent) exchangeWith(m Member, failed func(now time.Time)) {
	own, pauseEpoch := a.ownExchange(), a.pauseEpoch
	if m.State != StateAlive {
		// The member receives its own record, so that it can refute it.
		own.Rumors = append(own.Rumors, m)
	}
	a.spawn(func(ctx context.Context) {
		var theirs exchange
		ctx, cancel := context.WithTimeout(ctx, a.timing.ExchangeTimeout)
		defer cancel()
		err := a.cfg.Transport.Call(ctx, m.Peer, kindExchange, own, &theirs)
		a.post(func(now time.Time) {
			if err == nil {
				a.mergeExchange(theirs, now)
				a.recordContact(now)
				return
			}
			if pauseEpoch == a.pauseEpoch && failed != nil {
				failed(now)
			}
		})
	})
}

func (a *Agent) handleExchange(ctx context.Context, from string, body []byte) (any, error) {
	var theirs exchange
	if err := control.Unmarshal(body, &theirs); err != nil {
		return nil, err
	}
	return query(ctx, a, func(now time.Time) exchange {
		own := a.ownExchange()
		own.Others = a.countOthers(from)
		// If this node's record of the sender supersedes the sender's own, the
		// sender receives it, so that it can refute it.
		if e, ok := a.table.entries[from]; ok && e.member.Supersedes(theirs.Self) {
			own.Rumors = append(own.Rumors, e.member)
		}
		a.mergeExchange(theirs, now)
		return own
	})
}

// countOthers returns the number of alive and suspected members other than this
// node and the named one.
func (a *Agent) countOthers(name string) int {
	n := 0
	for _, m := range a.table.inState(StateAlive, StateSuspect) {
		if m.Name() != name && m.Name() != a.self.Name() {
			n++
		}
	}
	return n
}

// mergeExchange applies the message of another node in an exchange.
func (a *Agent) mergeExchange(e exchange, now time.Time) {
	a.applyRecord(e.Self, now)
	for _, m := range e.Rumors {
		a.applyRecord(m, now)
	}
	a.raiseHighest(e.Highest)
	a.addOffer(e.Self, e.InForce)
}

// applyRecord applies one record to the table. A record of this node that
// supersedes its own is refuted with a higher incarnation. The exception is
// that it is leaving: the platform is then removing its host, and the node
// accepts that state.
func (a *Agent) applyRecord(m Member, now time.Time) {
	if m.Name() != a.self.Name() {
		a.table.apply(m, now)
		return
	}
	if !m.Supersedes(a.self) {
		return
	}
	if m.State == StateLeaving && m.Incarnation == a.self.Incarnation {
		a.self.State = StateLeaving
	} else {
		a.self.Incarnation = m.Incarnation + 1
	}
	a.table.apply(a.self, now)
}

// compareTables fetches records that differ from those of a random alive member
// (anti-entropy).
func (a *Agent) compareTables() {
	picked := sample(a.rng, a.self.Name(), a.table.inState(StateAlive), 1)
	if len(picked) == 0 {
		return
	}
	a.pullFrom(picked[0].Peer, bucketsPerPull)
}

// pullFrom fetches up to limit differing buckets from a peer.
func (a *Agent) pullFrom(peer control.Peer, limit int) {
	seed := a.rng.Uint64()
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, a.timing.ExchangeTimeout)
		defer cancel()
		var d digests
		if a.cfg.Transport.Call(ctx, peer, kindDigests, empty{}, &d) != nil {
			return
		}
		differ, err := query(ctx, a, func(time.Time) []uint16 { return a.table.differingBuckets(d.Packed) })
		if err != nil || len(differ) == 0 {
			return
		}
		rng := rand.New(rand.NewPCG(seed, 0))
		rng.Shuffle(len(differ), func(i, j int) { differ[i], differ[j] = differ[j], differ[i] })
		var r records
		req := recordsRequest{Buckets: differ[:min(limit, len(differ))]}
		if a.cfg.Transport.Call(ctx, peer, kindRecords, req, &r) != nil {
			return
		}
		a.post(func(now time.Time) {
			for _, m := range r.Members {
				a.applyRecord(m, now)
			}
		})
	})
}

func (a *Agent) handleDigests(ctx context.Context, _ string, _ []byte) (any, error) {
	return query(ctx, a, func(time.Time) digests { return digests{Packed: a.table.packedDigests()} })
}

func (a *Agent) handleRecords(ctx context.Context, _ string, body []byte) (any, error) {
	var req recordsRequest
	if err := control.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	return query(ctx, a, func(time.Time) records { return records{Members: a.table.records(req.Buckets)} })
}

// announceDeparture marks this node as leaving and notifies its partners. It
// closes notified when all of them have answered or the exchange has timed out.
func (a *Agent) announceDeparture(now time.Time, notified chan<- struct{}) {
	a.self.State = StateLeaving
	a.table.apply(a.self, now)
	a.buildView()
	partners, own := a.partners(), a.ownExchange()
	a.spawn(func(ctx context.Context) {
		defer close(notified)
		ctx, cancel := context.WithTimeout(ctx, a.timing.ExchangeTimeout)
		defer cancel()
		forEachConcurrently(partners, func(m Member) {
			var theirs exchange
			_ = a.cfg.Transport.Call(ctx, m.Peer, kindExchange, own, &theirs)
		})
	})
}
