package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet/control"
	"filbertmill.example/platform"
)

const (
	// maxJoinContacts is the largest number of nodes contacted in one attempt to
	// join.
	maxJoinContacts = 5
	// joinQuorum is the number of peers that must answer, unless the fleet is
	// smaller or the store answers. A single peer may have been partitioned for
	// a long time and have an old configuration.
	joinQuorum = 3
	// joinTimeout limits one exchange of an attempt to join.
	joinTimeout = 2 * time.Second
	// storeTimeout limits one read of the store or the host list.
	storeTimeout = 3 * time.Second
)

// joinResult is the result of one attempt to join.
type joinResult struct {
	// asked is the number of peers contacted and answers are their replies.
	asked   int
	answers []exchange
	// document is the newest configuration received, nil if there is none.
	document *parsedDocument
	// storeErr is the failure of reading the store. storeRead is set if the
	// store was read.
	storeErr  error
	storeRead bool
}

// startJoin starts an attempt to join. It contacts some nodes, and reads the
// store if no configuration was fetched from them or too few have answered.
func (a *Agent) startJoin() {
	contacts := a.contacts()
	own := a.ownExchange()
	seed := a.rng.Uint64()
	a.spawn(func(ctx context.Context) {
		contacts = append(contacts, a.listedHosts(ctx)...)
		r := a.contactPeers(ctx, own, pickContacts(contacts, a.cfg.Self.Name, seed))
		a.post(func(now time.Time) { a.handleJoinResult(r, now) })
	})
}

// contacts returns the nodes known from the settings and from the table.
func (a *Agent) contacts() []control.Peer {
	out := append([]control.Peer(nil), a.cfg.Seeds...)
	for _, m := range a.table.inState(StateAlive, StateSuspect) {
		out = append(out, m.Peer)
	}
	return out
}

// listedHosts returns the nodes in the platform's host list, or none if it
// cannot be read.
func (a *Agent) listedHosts(ctx context.Context) []control.Peer {
	if a.cfg.Hosts == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	hosts, err := a.cfg.Hosts.Hosts(ctx)
	if err != nil {
		return nil
	}
	out := make([]control.Peer, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, peerOf(h))
	}
	return out
}

// contactPeers exchanges with the contacts concurrently and fetches the newest
// configuration that one of them has in force. It reads the store if that fails
// or too few peers have answered.
func (a *Agent) contactPeers(ctx context.Context, own exchange, contacts []control.Peer) joinResult {
	r := joinResult{asked: len(contacts)}
	var mu sync.Mutex
	var newest exchange
	var wg sync.WaitGroup
	for _, p := range contacts {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, joinTimeout)
			defer cancel()
			var theirs exchange
			if a.cfg.Transport.Call(ctx, p, kindExchange, own, &theirs) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			r.answers = append(r.answers, theirs)
			if theirs.InForce.Newer(newest.InForce) {
				newest = theirs
			}
		})
	}
	wg.Wait()
	if newest.InForce.Revision > 0 {
		if p, err := a.fetchDocument(ctx, newest.Self.Peer); err == nil {
			r.document = &p
		}
	}
	if r.document == nil || len(r.answers) < r.quorum() {
		a.queryStore(ctx, &r)
	}
	return r
}

// quorum returns the number of peers that must answer. It is lower than
// joinQuorum if the answers show that the fleet is smaller.
func (r joinResult) quorum() int {
	known := 1
	for _, e := range r.answers {
		known = max(known, e.Others+1)
	}
	return min(known, joinQuorum)
}

// queryStore reads the store and records its document in r if it is newer than
// the one there.
func (a *Agent) queryStore(ctx context.Context, r *joinResult) {
	p, err := a.readStore(ctx)
	r.storeErr = err
	r.storeRead = err == nil
	if p != nil && (r.document == nil || p.document.Version.Newer(r.document.document.Version)) {
		r.document = p
	}
}

// readStore returns the newest configuration in the store, or nil if there is
// none.
func (a *Agent) readStore(ctx context.Context) (*parsedDocument, error) {
	if a.cfg.Store == nil {
		return nil, errors.New("no store in the settings")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := a.cfg.Store.Get(ctx, ConfigurationKey)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	d, err := DecodeDocument(e.Value)
	if err != nil {
		return nil, err
	}
	p := a.parse(d)
	return &p, nil
}

// handleJoinResult applies the result of an attempt to join and determines
// whether the node has joined.
func (a *Agent) handleJoinResult(r joinResult, now time.Time) {
	for _, e := range r.answers {
		a.mergeExchange(e, now)
		a.pullFrom(e.Self.Peer, bucketCount)
	}
	if len(r.answers) > 0 {
		a.reachedPeer = true
		a.lastContact = now
	}
	if a.joined {
		return
	}
	a.joinProblem = a.completeJoin(r, now)
	if a.joinProblem == "" {
		a.joined = true
		a.fetchNewest()
	}
}

// completeJoin brings the document of a join result into force. It returns the
// reason if the node still has not joined, and an empty string if it has.
func (a *Agent) completeJoin(r joinResult, now time.Time) string {
	if len(r.answers) == 0 && !r.storeRead {
		return fmt.Sprintf("neither a peer nor the store can be reached: %d peers asked; store: %v", r.asked, r.storeErr)
	}
	if len(r.answers) < r.quorum() && !r.storeRead {
		return fmt.Sprintf("%d of %d peers needed have answered; store: %v", len(r.answers), r.quorum(), r.storeErr)
	}
	if r.document != nil {
		a.applyIfNewer(*r.document, "join", now)
	}
	current := a.inForce.Load().document.Version
	if a.highest.Newer(current) && !a.rejected[a.highest] {
		return "revision " + a.highest.String() + " exists, but no node that answers has it"
	}
	return ""
}

// updateReadiness publishes whether the node may serve, and the reason if not.
func (a *Agent) updateReadiness() {
	r := Readiness{Ready: true}
	switch {
	case !a.joined && a.joinProblem != "":
		r = Readiness{Reason: a.joinProblem}
	case !a.joined:
		r = Readiness{Reason: "joining the fleet"}
	case a.inForce.Load().config == nil:
		r = Readiness{Reason: "no configuration in force"}
	case a.catchingUp:
		r = Readiness{Reason: "catching up after a pause"}
	case a.self.State == StateLeaving:
		r = Readiness{Reason: "leaving"}
	}
	if r != *a.ready.Load() {
		a.ready.Store(&r)
	}
}

// pickContacts returns up to maxJoinContacts random nodes, without duplicates
// and without self.
func pickContacts(from []control.Peer, self string, seed uint64) []control.Peer {
	byName := make(map[string]bool)
	var members []Member
	for _, p := range from {
		if p.Name != self && !byName[p.Name] {
			byName[p.Name] = true
			members = append(members, Member{Peer: p})
		}
	}
	var out []control.Peer
	for _, m := range sample(newRand(seed), self, members, maxJoinContacts) {
		out = append(out, m.Peer)
	}
	return out
}

// peerOf returns the peer on a host of the host list.
func peerOf(h platform.Host) control.Peer {
	return control.Peer{
		Name:             h.Name,
		AvailabilityZone: h.AvailabilityZone,
		Region:           h.Region,
		PeerAddress:      h.PeerAddress,
		ControlAddress:   h.ControlAddress,
	}
}
