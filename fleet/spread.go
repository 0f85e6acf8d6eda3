package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/event"
	"filbertmill.example/fleet/control"
	"filbertmill.example/fleet/delta"
)

const (
	// fanout is the number of random members, besides the partners, that are
	// notified of a new configuration.
	fanout = 4
	// documentTimeout limits the fetch of a configuration from a peer.
	documentTimeout = 3 * time.Second
	// maxRejected is the largest number of rejected versions that are remembered.
	maxRejected = 64
)

// parsedDocument is a document with the result of parsing it.
type parsedDocument struct {
	document Document
	config   *dynamic.Config
	err      error
}

// parse parses and checks a document. It may take long and is safe for
// concurrent use.
func (a *Agent) parse(d Document) parsedDocument {
	c, err := a.cfg.Parse(d)
	return parsedDocument{document: d, config: c, err: err}
}

// raiseHighest records that a version exists in the fleet.
func (a *Agent) raiseHighest(v Version) {
	if v.Newer(a.highest) {
		a.highest = v
	}
}

// addOffer records that a member has a version in force, and fetches that
// version if it is newer than this node's.
func (a *Agent) addOffer(m Member, v Version) {
	a.raiseHighest(v)
	if !v.Newer(a.inForce.Load().document.Version) || a.rejected[v] || m.Name() == a.self.Name() {
		return
	}
	a.offers[m.Name()] = v
	a.fetchNewest()
}

// fetchNewest fetches the newest offered version, unless a fetch is in progress.
func (a *Agent) fetchNewest() {
	current := a.inForce.Load().document.Version
	var from string
	var best Version
	for name, v := range a.offers {
		if !v.Newer(current) || a.rejected[v] {
			delete(a.offers, name)
			continue
		}
		if v.Newer(best) {
			from, best = name, v
		}
	}
	e, ok := a.table.entries[from]
	if a.fetching || !a.joined || !ok {
		return
	}
	a.fetching = true
	a.spawn(func(ctx context.Context) {
		p, err := a.fetchDocument(ctx, e.member.Peer)
		a.post(func(now time.Time) {
			a.fetching = false
			delete(a.offers, from)
			if err == nil {
				a.applyIfNewer(p, "peer", now)
			}
			a.fetchNewest()
		})
	})
}

// fetchDocument fetches the configuration in force on a peer. It requests a
// delta first, and the complete text if the delta cannot be applied.
func (a *Agent) fetchDocument(ctx context.Context, peer control.Peer) (parsedDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	have := a.inForce.Load().document
	d, err := a.requestDocument(ctx, peer, have)
	if errors.Is(err, delta.ErrMismatch) {
		d, err = a.requestDocument(ctx, peer, Document{})
	}
	if err != nil {
		return parsedDocument{}, err
	}
	return a.parse(d), nil
}

// requestDocument requests the configuration in force on a peer, as a delta from
// have if that is possible.
func (a *Agent) requestDocument(ctx context.Context, peer control.Peer, have Document) (Document, error) {
	var p packedDocument
	if err := a.cfg.Transport.Call(ctx, peer, kindDocument, documentRequest{Have: have.Version}, &p); err != nil {
		return Document{}, err
	}
	return p.unpack(have)
}

func (a *Agent) handleDocument(_ context.Context, _ string, body []byte) (any, error) {
	var req documentRequest
	if err := control.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	return a.inForce.Load().pack(req.Have)
}

func (a *Agent) handleRevision(_ context.Context, from string, body []byte) (any, error) {
	var n revisionNotice
	if err := control.Unmarshal(body, &n); err != nil {
		return nil, err
	}
	a.post(func(time.Time) {
		if e, ok := a.table.entries[from]; ok {
			a.addOffer(e.member, n.Version)
		}
	})
	return nil, nil
}

// applyIfNewer brings a document into force if it is valid and newer than the
// one in force. A node that is joining waits for the newest version known to it,
// so that a restart never returns to an older configuration.
func (a *Agent) applyIfNewer(p parsedDocument, source string, now time.Time) {
	v, current := p.document.Version, a.inForce.Load().document.Version
	if !v.Newer(current) {
		if current.Newer(v) && source == "store" && v.Revision > 0 {
			a.reject(v, "older_than_in_force", source, now)
		}
		return
	}
	if a.rejected[v] || !a.joined && a.highest.Newer(v) {
		return
	}
	if p.err != nil {
		a.reject(v, p.err.Error(), source, now)
		return
	}
	a.inForce.Store(a.inForce.Load().replacedBy(p))
	a.raiseHighest(v)
	a.loads = a.cfg.ListLoads(p.config)
	a.buildView()
	a.cfg.Apply(p.config)
	a.emit(event.Event{
		Time: now, Kind: event.KindConfiguration, Rule: "newer_revision", From: current.String(), To: v.String(),
		Evidence: event.Evidence{Revision: v.Revision, Detail: "from " + source},
	})
	a.announce(v)
}

// reject records that a version is not brought into force, and emits one event
// with the reason.
func (a *Agent) reject(v Version, why, source string, now time.Time) {
	if a.rejected[v] {
		return
	}
	if len(a.rejected) >= maxRejected {
		clear(a.rejected)
	}
	a.rejected[v] = true
	a.emit(event.Event{
		Time: now, Kind: event.KindConfiguration, Rule: "refused", To: v.String(),
		Evidence: event.Evidence{Revision: v.Revision, Detail: why + " (from " + source + ")"},
	})
}

// announce notifies the partners and some random members that this node has a
// new version in force.
func (a *Agent) announce(v Version) {
	notified := make(map[string]bool)
	recipients := a.partners()
	recipients = append(recipients, sample(a.rng, a.self.Name(), a.table.inState(StateAlive), fanout)...)
	for _, m := range recipients {
		if notified[m.Name()] {
			continue
		}
		notified[m.Name()] = true
		a.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, a.timing.ExchangeTimeout)
			defer cancel()
			_ = a.cfg.Transport.Send(ctx, m.Peer, kindRevision, revisionNotice{Version: v})
		})
	}
}
