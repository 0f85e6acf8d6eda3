package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"filbertmill.example/fleet/control"
)

const (
	// rumorsPerExchange bounds the records passed on in one message.
	rumorsPerExchange = 16
	// bucketsPerPull bounds the parts of the table fetched at once.
	bucketsPerPull = 8
)

// register sets the handlers of messages from other nodes.
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

// partners returns the members with which this node exchanges regularly.
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

// ring returns the members that this node watches.
func (a *Agent) ring() []Member {
	if a.ringGeneration != a.table.generation {
		a.ringGeneration = a.table.generation
		a.ringMembers = ringAfter(a.self.Name(), a.table.inState(StateAlive, StateLeaving), ringPartnerCount)
	}
	return a.ringMembers
}

// ownExchange returns what this node tells another one.
func (a *Agent) ownExchange() exchange {
	return exchange{
		Self:    a.self,
		InForce: a.inForce.Load().document.Version,
		Highest: a.highest,
		Summary: a.table.summary(),
		Rumors:  a.table.takeRumors(rumorsPerExchange),
	}
}

// exchangeWithNext starts an exchange with the partner whose turn it is.
func (a *Agent) exchangeWithNext() {
	partners := a.partners()
	if len(partners) == 0 {
		return
	}
	a.exchangeRound++
	m := partners[a.exchangeRound%len(partners)]
	a.exchangeWith(m, func(now time.Time) { a.probeIndirectly(m) })
}

// exchangeWith starts an exchange; failed runs if there was no answer, unless
// this node was paused meanwhile.
func (a *Agent) exchangeWith(m Member, failed func(now time.Time)) {
	own, pauseEpoch := a.ownExchange(), a.pauseEpoch
	if m.State != StateAlive {
		// What is believed of a member is told to it, to let it refute.
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
		// A member that is wrong about itself is told so, to let it refute.
		if e, ok := a.table.entries[from]; ok && e.member.Supersedes(theirs.Self) {
			own.Rumors = append(own.Rumors, e.member)
		}
		a.mergeExchange(theirs, now)
		return own
	})
}

// countOthers counts the members that are not gone besides this node and one more.
func (a *Agent) countOthers(name string) int {
	n := 0
	for _, m := range a.table.inState(StateAlive, StateSuspect) {
		if m.Name() != name && m.Name() != a.self.Name() {
			n++
		}
	}
	return n
}

// mergeExchange takes in what another node told.
func (a *Agent) mergeExchange(e exchange, now time.Time) {
	a.applyRecord(e.Self, now)
	for _, m := range e.Rumors {
		a.applyRecord(m, now)
	}
	a.raiseHighest(e.Highest)
	a.addOffer(e.Self, e.InForce)
}

// applyRecord takes in one record. What is wrong about this node is refuted, save
// that the platform is taking its host away.
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

// compareTables fetches records that differ from a random partner's.
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

// announceDeparture marks this node as leaving and tells its partners.
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
