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
	// callTimeout limits the wait for one node's reply.
	callTimeout = 2 * time.Second
	// callRetryInterval is the wait before a peer is called again.
	callRetryInterval = 50 * time.Millisecond
	// maxConcurrentCalls is the most nodes that are called concurrently.
	maxConcurrentCalls = 16
)

// silentNode is a node that was called and did not answer.
type silentNode struct {
	name string
	err  error
}

// callAll calls all peers, maxConcurrentCalls of them concurrently at most. It
// returns the replies and the nodes that did not answer, both in the order of the
// peers' names.
func callAll[R any](
	ctx context.Context, peers []control.Peer, call func(ctx context.Context, to control.Peer) (R, error),
) ([]R, []silentNode) {
	peers = slices.SortedFunc(slices.Values(peers), func(a, b control.Peer) int { return strings.Compare(a.Name, b.Name) })
	replies := make([]R, len(peers))
	errs := make([]error, len(peers))
	free := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	for i, p := range peers {
		free <- struct{}{}
		calls.Go(func() {
			defer func() { <-free }()
			one, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			replies[i], errs[i] = callOne(one, p, call)
		})
	}
	calls.Wait()
	return splitReplies(peers, replies, errs)
}

// callOne calls one peer. While the transport backs off after an earlier failed
// connection, such as one made before the peer was listening, it retries the call
// until ctx ends.
func callOne[R any](
	ctx context.Context, to control.Peer, call func(ctx context.Context, to control.Peer) (R, error),
) (R, error) {
	for {
		reply, err := call(ctx, to)
		if !errors.Is(err, control.ErrBackingOff) {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return reply, err
		case <-time.After(callRetryInterval):
		}
	}
}

// splitReplies separates the replies from the failed calls.
func splitReplies[R any](peers []control.Peer, replies []R, errs []error) ([]R, []silentNode) {
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

// otherPeers returns the members of the fleet besides this node, including those
// that are suspected or leaving.
func (n *Node) otherPeers(ctx context.Context) ([]control.Peer, error) {
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
