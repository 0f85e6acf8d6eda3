package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet"
)

// homeCheckInterval is how long a forwarded request waits before its home is
// asked whether it is still there, and the time between two such questions.
// Shorter finds a paused home sooner; longer sends fewer messages for long work.
const homeCheckInterval = 300 * time.Millisecond

// errHomeUnresponsive is the cause by which a hop to a silent home ends.
var errHomeUnresponsive = errors.New("the home does not answer")

// guardHome returns a context for a hop that ends with errHomeUnresponsive once
// the home no longer answers control messages either. Only requests that may be
// sent again are guarded: ending the others would gain nothing.
func (n *Node) guardHome(ctx context.Context, r *request, m fleet.Member) (context.Context, context.CancelFunc) {
	if !r.resendableToHome() {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go n.checkHome(ctx, cancel, m)
	return ctx, func() { cancel(nil) }
}

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
