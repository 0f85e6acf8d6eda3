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

// kindBurnHandover hands a page of counts, a burn.Snapshot, over to another
// node.
const kindBurnHandover control.Kind = "burn_handover"

const (
	// handoverTimeout limits the complete handover.
	handoverTimeout = 2 * time.Second
	// maxHandoverPeers is the most nodes that are tried.
	maxHandoverPeers = 3
)

// handleBurnHandover adds the counts of a node that is shutting down to this
// node's.
func (n *Node) handleBurnHandover(_ context.Context, _ string, body []byte) (any, error) {
	var s burn.Snapshot
	if err := control.Unmarshal(body, &s); err != nil {
		return nil, err
	}
	n.reports.burn.Absorb(s)
	return nil, nil
}

// handOverBurn hands the node's counts over to another node before the process
// ends. Each page is sent only once: the counts in a lost message may be lost,
// but none is counted twice.
func (n *Node) handOverBurn() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	to, found := n.handoverPeer(ctx)
	if !found {
		n.log.Warn("burn counts are lost, because no other node answers")
		return
	}
	for _, page := range n.reports.burn.Take(time.Now()) {
		if err := n.membership.transport.Call(ctx, to.Peer, kindBurnHandover, page, nil); err != nil {
			n.log.Warn("burn counts may be lost", "to", to.Name(), "error", err.Error())
			return
		}
	}
	n.log.Info("burn counts handed over", "to", to.Name())
}

// handoverPeer returns the first member that answers now, in the order of their
// names from this node's on. It tries maxHandoverPeers at most.
func (n *Node) handoverPeer(ctx context.Context) (fleet.Member, bool) {
	members := n.membership.agent.View().Members
	at, listed := slices.BinarySearchFunc(members, n.settings.Name, func(m fleet.Member, name string) int {
		return strings.Compare(m.Name(), name)
	})
	if listed {
		members = slices.Delete(slices.Clone(members), at, at+1)
	}
	for i := range min(len(members), maxHandoverPeers) {
		m := members[(at+i)%len(members)]
		if n.membership.agent.Ping(ctx, m) == nil {
			return m, true
		}
	}
	return fleet.Member{}, false
}
