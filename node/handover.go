package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"filbertmill.example/burn"
	"filbertmill.example/fleet"
	"filbertmill.example/fleet/control"
)

// kindBurnHandover gives a page of counts, a burn.Snapshot, to another node.
const kindBurnHandover control.Kind = "burn_handover"

const (
	// handoverTimeout bounds the whole handover.
	handoverTimeout = 2 * time.Second
	// maxHeirs is the number of nodes that are tried.
	maxHeirs = 3
)

// absorbBurn takes over the counts of a node that is going away.
func (n *Node) absorbBurn(_ context.Context, _ string, body []byte) (any, error) {
	var s burn.Snapshot
	if err := control.Unmarshal(body, &s); err != nil {
		return nil, err
	}
	n.reports.burn.Absorb(s)
	return nil, nil
}

// handOverBurn gives the node's counts to another before it ends. Each page is
// sent once: counts may be lost with a lost message, and never count twice.
func (n *Node) handOverBurn() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	heir, found := n.heir(ctx)
	if !found {
		n.log.Warn("no node takes the burn counts over")
		return
	}
	for _, page := range n.reports.burn.Take(time.Now()) {
		if err := n.membership.transport.Call(ctx, heir.Peer, kindBurnHandover, page, nil); err != nil {
			n.log.Warn("burn counts may be lost", "to", heir.Name(), "error", err.Error())
			return
		}
	}
	n.log.Info("burn counts handed over", "to", heir.Name())
}

// heir returns the first member by name after this node that answers now.
func (n *Node) heir(ctx context.Context) (fleet.Member, bool) {
	members := n.membership.agent.View().Members
	at, listed := slices.BinarySearchFunc(members, n.settings.Name, func(m fleet.Member, name string) int {
		return strings.Compare(m.Name(), name)
	})
	if listed {
		members = slices.Delete(slices.Clone(members), at, at+1)
	}
	for i := range min(len(members), maxHeirs) {
		m := members[(at+i)%len(members)]
		if n.membership.agent.Ping(ctx, m) == nil {
			return m, true
		}
	}
	return fleet.Member{}, false
}
