package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet"
)

// homeCheckInterval is how long a forwarded request waits before the node pings
// its home, and the time between two pings. A shorter interval detects a
// suspended home sooner; a longer one sends fewer messages for long-running
// requests.
const homeCheckInterval = 300 * time.Millisecond

// errHomeUnresponsive is the cause with which a hop is cancelled when its home
// does not answer.
var errHomeUnresponsive = errors.New("the home does not answer")

// guardHome returns a context for a hop. It is cancelled with
// errHomeUnresponsive when the home does not answer control messages either.
// Only requests that may be sent to another home are guarded: cancelling the
// others would gain nothing.
func (n *Node) guardHome(ctx context.Context, r *request, m fleet.Member) (context.Context, context.CancelFunc) {
	if !r.resendableToHome() {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go n.checkHome(ctx, cancel, m)
	return ctx, func() { cancel(nil) }
}

// checkHome pings a home until the context ends. It calls cancel when a ping
// fails.
func (n *Node) checkHome(ctx context.Context, cancel context.CancelCauseFunc, m fleet.Member) {
	ticker := time.NewTicker(homeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n.membership.agent.Ping(ctx, m) != nil && ctx.Err() == nil {
			cancel(errHomeUnresponsive)
			return
		}
	}
}
