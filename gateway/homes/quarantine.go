package homes

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/poison"
)

// kindQuarantine exchanges what a node and a home know of the requests that crash targets:
// a list of poison.Handover, answered by one.
const kindQuarantine control.Kind = "quarantine"

// nodeQuarantine is what this node knows of the requests that crash targets. It outlives
// the homes that have found them, and is told their successors. It is safe for concurrent
// use.
type nodeQuarantine struct {
	log hclog.Logger

	mu      sync.Mutex
	tracker *poison.Tracker
}

func newNodeQuarantine(log hclog.Logger) *nodeQuarantine {
	return &nodeQuarantine{log: log, tracker: poison.NewTracker(poison.DefaultConfig())}
}

// list returns the entries to tell a home.
func (q *nodeQuarantine) list() []poison.Handover {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Handovers(time.Now())
}

// merge records what a home knows.
func (q *nodeQuarantine) merge(list []poison.Handover, home string) {
	if len(list) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range q.tracker.TakeOver(time.Now(), list) {
		q.log.Info("this node knows that a request crashes targets", "fingerprint", f, "home", home)
	}
	q.tracker.TakeOverSuspects(time.Now(), list)
}

// all returns the entries to tell a home, and the crashes that have not led to a quarantine
// yet.
func (q *nodeQuarantine) all() []poison.Handover {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	return append(q.tracker.Handovers(now), q.tracker.Suspects(now)...)
}

// exchangeQuarantine tells homes what this node knows, also while it has no requests for
// them, and records what they know.
func (c *Client) exchangeQuarantine(ctx context.Context, homes map[replica.Node]bool) {
	list := c.quarantine.all()
	if len(list) == 0 {
		return
	}
	for home := range homes {
		if home.Name == c.cfg.Self {
			c.quarantine.merge(c.cfg.Shared.ExchangeQuarantine(list, "this node"), home.Name)
			continue
		}
		go func() {
			var reply []poison.Handover
			if err := c.call(ctx, peerOf(home), kindQuarantine, list, &reply); err != nil {
				c.cfg.Log.Debug("quarantine not exchanged", "home", home.Name, "error", err)
				return
			}
			c.quarantine.merge(reply, home.Name)
		}()
	}
}

// exchangeQuarantine answers a node that tells what it knows.
func (s *Server) exchangeQuarantine(_ context.Context, from string, body []byte) (any, error) {
	var list []poison.Handover
	if err := control.Unmarshal(body, &list); err != nil {
		return nil, err
	}
	return s.loop.ExchangeQuarantine(list, "node "+from), nil
}

// known returns what this node knows as it is sent with an attempt.
func (q *nodeQuarantine) known(withList bool) balance.KnownQuarantine {
	list := q.list()
	known := balance.KnownQuarantine{Digest: poison.Digest(list)}
	if withList {
		known.List = list
	}
	return known
}
