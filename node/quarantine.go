package node

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"filbertmill.example/event"
	"filbertmill.example/fleet/control"
	"filbertmill.example/poison"
)

const (
	// PoisonPath is the admin path under which operators list the quarantined
	// fingerprints (GET) and release the one in the parameter fingerprint
	// (DELETE).
	PoisonPath = "/poison"

	// kindPoisonList requests a node's quarantined fingerprints. The message is
	// a poisonQuery, the reply a list of poison.Entry.
	kindPoisonList control.Kind = "poison.list"
	// kindPoisonRelease has a node release a fingerprint. The message is a
	// poisonQuery, the reply a poisonReleased.
	kindPoisonRelease control.Kind = "poison.release"
	// kindPoisonEntry sends a quarantine, a poison.Entry, to a successor of the
	// home.
	kindPoisonEntry control.Kind = "poison.entry"

	// maxPoisonListed is the most entries in one node's reply.
	maxPoisonListed = 1000
	// poisonSpreadTimeout limits the time to send a quarantine to all successors.
	poisonSpreadTimeout = 2 * time.Second
)

// PoisonReport lists the fingerprints that the fleet holds in quarantine, or is
// the result of a release.
type PoisonReport struct {
	// Entries lists the fingerprints, ordered by the end of their quarantine.
	Entries []poison.Entry `json:"entries"`
	// Released is set if at least one node held the fingerprint to be released.
	Released bool `json:"released,omitempty"`
	// Silent lists the nodes that did not answer.
	Silent []SilentNode `json:"silent,omitempty"`
}

// SilentNode is a node that did not answer.
type SilentNode struct {
	// Node is the node's name; Error states why there is no answer.
	Node  string `json:"node"`
	Error string `json:"error"`
}

// poisonQuery names a fingerprint.
type poisonQuery struct {
	Fingerprint poison.Fingerprint `cbor:"1,keyasint,omitempty"`
}

// poisonReleased reports whether a node held the fingerprint in quarantine.
type poisonReleased struct {
	Released bool `cbor:"1,keyasint"`
}

// connectPoison registers the handlers of other nodes' messages on quarantines.
func (n *Node) connectPoison(t *control.Transport) {
	t.Handle(kindPoisonList, func(ctx context.Context, _ string, _ []byte) (any, error) {
		return n.quarantined(ctx)
	})
	t.Handle(kindPoisonRelease, n.answerRelease)
	t.Handle(kindPoisonEntry, n.importQuarantine)
}

// poisonRoutes adds the admin routes for quarantines.
func (n *Node) poisonRoutes(e *server.Hertz) {
	e.GET(PoisonPath, n.handlePoisonList)
	e.DELETE(PoisonPath, n.handlePoisonRelease)
}

// poisonCommand has the control goroutine call use with its poison tracker, and
// close done afterwards.
type poisonCommand struct {
	use  func(t *poison.Tracker, now time.Time)
	done chan struct{}
}

func (m poisonCommand) apply(c *controlLoop, now time.Time) {
	m.use(c.poison, now)
	close(m.done)
}

// withTracker has the control goroutine call use with its poison tracker, and
// waits for the call to end.
func (n *Node) withTracker(ctx context.Context, use func(t *poison.Tracker, now time.Time)) error {
	m := poisonCommand{use: use, done: make(chan struct{})}
	if !n.control.send(m) {
		return control.ErrClosed
	}
	select {
	case <-m.done:
		return nil
	case <-n.control.done:
		return control.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// quarantined returns this node's quarantined fingerprints.
func (n *Node) quarantined(ctx context.Context) ([]poison.Entry, error) {
	found := make(chan []poison.Entry, 1)
	err := n.withTracker(ctx, func(t *poison.Tracker, now time.Time) { found <- t.List(now) })
	if err != nil {
		return nil, err
	}
	list := <-found
	return list[:min(len(list), maxPoisonListed)], nil
}

// release ends a quarantine on this node.
func (n *Node) release(ctx context.Context, f poison.Fingerprint) (bool, error) {
	released := make(chan bool, 1)
	err := n.withTracker(ctx, func(t *poison.Tracker, now time.Time) { released <- t.Release(now, f) })
	if err != nil {
		return false, err
	}
	return <-released, nil
}

// answerRelease handles a kindPoisonRelease message.
func (n *Node) answerRelease(ctx context.Context, _ string, body []byte) (any, error) {
	var q poisonQuery
	if err := control.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	released, err := n.release(ctx, q.Fingerprint)
	return poisonReleased{Released: released}, err
}

// importQuarantine handles a kindPoisonEntry message.
func (n *Node) importQuarantine(ctx context.Context, _ string, body []byte) (any, error) {
	var e poison.Entry
	if err := control.Unmarshal(body, &e); err != nil {
		return nil, err
	}
	return nil, n.withTracker(ctx, func(t *poison.Tracker, now time.Time) { t.Import(now, e) })
}

// spreadQuarantine implements environment. The successors refuse requests with
// the fingerprint when they become the home.
func (n *Node) spreadQuarantine(e poison.Entry, notified func()) {
	var peers []control.Peer
	for _, m := range n.membership.agent.View().Homes(e.Service) {
		if m.Name() != n.settings.Name {
			peers = append(peers, m.Peer)
		}
	}
	go func() {
		defer notified()
		ctx, cancel := context.WithTimeout(context.Background(), poisonSpreadTimeout)
		defer cancel()
		_, silent := callAll(ctx, peers, func(ctx context.Context, to control.Peer) (struct{}, error) {
			return struct{}{}, n.membership.transport.Call(ctx, to, kindPoisonEntry, e, nil)
		})
		for _, s := range silent {
			n.log.Warn("a successor did not receive a quarantine", "successor", s.name, "error", s.err.Error())
		}
	}()
}

// handlePoisonList answers an operator's request for the quarantined
// fingerprints of all nodes.
func (n *Node) handlePoisonList(c context.Context, ctx *app.RequestContext) {
	peers, err := n.otherPeers(c)
	if err != nil {
		writeReportError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	answers, silent := callAll(c, peers, func(c context.Context, to control.Peer) ([]poison.Entry, error) {
		var list []poison.Entry
		return list, n.membership.transport.Call(c, to, kindPoisonList, poisonQuery{}, &list)
	})
	own, err := n.quarantined(c)
	if err != nil {
		writeReportError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	ctx.JSON(http.StatusOK, PoisonReport{Entries: mergeEntries(append(answers, own)), Silent: silentNodes(silent)})
}

// mergeEntries lists each fingerprint once, with the sum of all nodes' refusals
// and the latest end of its quarantine.
func mergeEntries(lists [][]poison.Entry) []poison.Entry {
	merged := make(map[poison.Fingerprint]poison.Entry)
	for _, list := range lists {
		for _, e := range list {
			known, ok := merged[e.Fingerprint]
			if ok {
				e.Refused += known.Refused
				e.Until = laterOf(e.Until, known.Until)
			}
			merged[e.Fingerprint] = e
		}
	}
	return slices.SortedFunc(maps.Values(merged), func(a, b poison.Entry) int {
		return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func silentNodes(list []silentNode) []SilentNode {
	var out []SilentNode
	for _, s := range list {
		out = append(out, SilentNode{Node: s.name, Error: s.err.Error()})
	}
	return out
}

// handlePoisonRelease answers an operator's request to end a quarantine on all
// nodes.
func (n *Node) handlePoisonRelease(c context.Context, ctx *app.RequestContext) {
	f, err := poison.ParseFingerprint(ctx.Query("fingerprint"))
	if err != nil {
		writeReportError(ctx, http.StatusBadRequest, err)
		return
	}
	peers, err := n.otherPeers(c)
	if err != nil {
		writeReportError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	answers, silent := callAll(c, peers, func(c context.Context, to control.Peer) (poisonReleased, error) {
		var r poisonReleased
		return r, n.membership.transport.Call(c, to, kindPoisonRelease, poisonQuery{Fingerprint: f}, &r)
	})
	released, err := n.release(c, f)
	if err != nil {
		writeReportError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	for _, a := range answers {
		released = released || a.Released
	}
	if released {
		n.Emit(event.Event{
			Time: time.Now(), Kind: event.KindPoison, Rule: "operator", From: "quarantined", To: "released",
			Evidence: event.Evidence{Detail: "fingerprint " + f.String()},
		})
	}
	ctx.JSON(http.StatusOK, PoisonReport{Released: released, Silent: silentNodes(silent)})
}
