package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/event"
	"filbertmill.example/fleet/control"
)

const (
	// fanout is the number of random members told of a new configuration
	// besides the partners.
	fanout = 4
	// documentTimeout bounds the fetch of a configuration from a peer.
	documentTimeout = 3 * time.Second
	// maxRejected bounds the memory of documents that were refused.
	maxRejected = 64
)

// parsed is a document after the check of its content.
type parsed struct {
	document Document
	config   *dynamic.Config
	err      error
}

// parse checks a document; it may take long and is safe for any goroutine.
func (a *Agent) parse(d Document) parsed {
	c, err := a.cfg.Parse(d)
	return parsed{document: d, config: c, err: err}
}

// hear records that a version exists somewhere.
func (a *Agent) hear(v Version) {
	if v.Newer(a.highest) {
		a.highest = v
	}
}

// offer notes that a member has a version in force, and fetches it if it is newer.
func (a *Agent) offer(m Member, v Version) {
	a.hear(v)
	if !v.Newer(a.inForce.Load().document.Version) || a.rejected[v] || m.Name() == a.self.Name() {
		return
	}
	a.offers[m.Name()] = v
	a.fetchBest()
}

// fetchBest fetches the newest version offered, unless a fetch is running.
func (a *Agent) fetchBest() {
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
				a.consider(p, "peer", now)
			}
			a.fetchBest()
		})
	})
}

func (a *Agent) fetchDocument(ctx context.Context, peer control.Peer) (parsed, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	have := a.inForce.Load().document
	d, err := a.callDocument(ctx, peer, have)
	if errors.Is(err, errDelta) {
		d, err = a.callDocument(ctx, peer, Document{})
	}
	if err != nil {
		return parsed{}, err
	}
	return a.parse(d), nil
}

func (a *Agent) callDocument(ctx context.Context, peer control.Peer, have Document) (Document, error) {
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
			a.offer(e.member, n.Version)
		}
	})
	return nil, nil
}

// consider brings a document into force if it is newer than the present one
// and valid. A node that is joining waits for the newest version of which it
// has heard, so that a restart never goes back.
func (a *Agent) consider(p parsed, source string, now time.Time) {
	v, current := p.document.Version, a.inForce.Load().document.Version
	if !v.Newer(current) {
		if current.Newer(v) && source == "store" && v.Revision > 0 {
			a.refuse(v, "older_than_in_force", source, now)
		}
		return
	}
	if a.rejected[v] || !a.joined && a.highest.Newer(v) {
		return
	}
	if p.err != nil {
		a.refuse(v, p.err.Error(), source, now)
		return
	}
	a.inForce.Store(a.inForce.Load().successor(p))
	a.hear(v)
	a.loads = a.cfg.ListLoads(p.config)
	a.buildView()
	a.cfg.Apply(p.config)
	a.emit(event.Event{
		Time: now, Kind: event.KindConfiguration, Rule: "newer_revision", From: current.String(), To: v.String(),
		Evidence: event.Evidence{Revision: v.Revision, Detail: "from " + source},
	})
	a.announce(v)
}

// refuse remembers a document that does not come into force and says why, once.
func (a *Agent) refuse(v Version, why, source string, now time.Time) {
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

// announce tells the partners and some random members of a new version.
func (a *Agent) announce(v Version) {
	told := make(map[string]bool)
	targets := a.partners()
	targets = append(targets, sample(a.rng, a.self.Name(), a.table.inState(StateAlive), fanout)...)
	for _, m := range targets {
		if told[m.Name()] {
			continue
		}
		told[m.Name()] = true
		a.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, a.timing.ExchangeTimeout)
			defer cancel()
			_ = a.cfg.Transport.Send(ctx, m.Peer, kindRevision, revisionNotice{Version: v})
		})
	}
}
