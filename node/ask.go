package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet/control"
)

const (
	// askTimeout bounds the wait for one node's answer.
	askTimeout = 2 * time.Second
	// askAgainAfter is the wait before a peer is asked again.
	askAgainAfter = 50 * time.Millisecond
	// askAtOnce is the number of nodes that are asked at the same time.
	askAtOnce = 16
)

// silentNode is a node that was asked and did not answer.
type silentNode struct {
	name string
	err  error
}

// askAll asks all peers, a bounded number at once, and returns the answers and
// the silent nodes, both in the order of the peers' names.
func askAll[R any](
	ctx context.Context, peers []control.Peer, ask func(ctx context.Context, to control.Peer) (R, error),
) ([]R, []silentNode) {
	peers = slices.SortedFunc(slices.Values(peers), func(a, b control.Peer) int { return strings.Compare(a.Name, b.Name) })
	replies := make([]R, len(peers))
	errs := make([]error, len(peers))
	free := make(chan struct{}, askAtOnce)
	var asking sync.WaitGroup
	for i, p := range peers {
		free <- struct{}{}
		asking.Go(func() {
			defer func() { <-free }()
			one, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			replies[i], errs[i] = askOne(one, p, ask)
		})
	}
	asking.Wait()
	return partition(peers, replies, errs)
}

// askOne asks one peer. An operator's question waits out the pause after an
// earlier failed connection, such as one made before the peer was listening.
func askOne[R any](
	ctx context.Context, to control.Peer, ask func(ctx context.Context, to control.Peer) (R, error),
) (R, error) {
	for {
		reply, err := ask(ctx, to)
		if !errors.Is(err, control.ErrBackingOff) {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return reply, err
		case <-time.After(askAgainAfter):
		}
	}
}

// partition tells the answers from the failures.
func partition[R any](peers []control.Peer, replies []R, errs []error) ([]R, []silentNode) {
	var answers []R
	var silent []silentNode
	for i, p := range peers {
		if errs[i] != nil {
			silent = append(silent, silentNode{name: p.Name, err: errs[i]})
			continue
		}
		answers = append(answers, replies[i])
	}
	return answers, silent
}

// others returns the members of the fleet besides this node, suspected and
// leaving ones included.
func (n *Node) others(ctx context.Context) ([]control.Peer, error) {
	members, err := n.membership.agent.Members(ctx)
	if err != nil {
		return nil, err
	}
	var peers []control.Peer
	for _, m := range members {
		if m.Name() != n.settings.Name {
			peers = append(peers, m.Peer)
		}
	}
	return peers, nil
}
