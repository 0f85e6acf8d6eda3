package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/config/routing"
	"filbertmill.example/gateway/quota"
	"filbertmill.example/outcome"
	"filbertmill.example/platform"
)

const (
	// trustedAge is the age of this node's copy of the store up to which a key that it
	// does not know is certainly no key: changes are in force by then.
	trustedAge = 2 * time.Second
	// outdatedRetryAfter is the Retry-After for a key that an outdated copy does not know.
	outdatedRetryAfter = 500 * time.Millisecond
	// rankStep is the number of route priorities within one rank of workspaces, and
	// maxRank the last of these ranks.
	rankStep = 1000
	maxRank  = 1 << 30
)

// admit returns the workspace of a request on a route, which is nil if the route needs
// no key. ok is false if the request has no valid key; it then has the result refusal.
func admit(workspaces *routing.Workspaces, route *dynamic.Route, h *protocol.RequestHeader, copyAge time.Duration) (w *dynamic.Workspace, refusal result, ok bool) {
	if workspaces == nil || route.Public {
		return nil, result{}, true
	}
	keys := h.PeekAll(platform.HeaderKey)
	if len(keys) == 1 {
		w = workspaces.ByKey(keys[0])
	}
	switch {
	case w != nil:
		return w, result{}, true
	case len(keys) == 1 && copyAge >= trustedAge:
		return nil, refusedResult(outcome.ReasonOutdated, outdatedRetryAfter), false
	}
	return nil, refusedResult(outcome.ReasonUnknownKey, 0), false
}

// identify replaces what a caller states about its workspace in a request to targets.
func identify(h *protocol.RequestHeader, w *dynamic.Workspace) {
	h.Del(platform.HeaderKey)
	h.Del(platform.HeaderWorkspace)
	if w != nil {
		h.Set(platform.HeaderWorkspace, w.Name)
	}
}

// priority returns the priority of a request. The rank of its workspace goes before the
// priority of its route, which alone counts if there are no workspaces.
func priority(workspaces *routing.Workspaces, w *dynamic.Workspace, route *dynamic.Route) int {
	if workspaces == nil {
		return route.Priority
	}
	rank, within := route.Priority, min(route.Priority, rankStep-1)
	if w != nil && w.Ranked {
		rank = w.Priority
	}
	return min(rank, maxRank)*rankStep + within
}

// quotaOf returns the quota of a workspace by the configuration in force.
func (n *Node) quotaOf(workspace string) (quota.Limit, bool) {
	w := n.replica.View().Workspaces.ByName(workspace)
	if w == nil || w.Rate <= 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: w.Rate, Burst: w.Burst}, true
}

// quotasInForce reports whether any workspace has a quota.
func (n *Node) quotasInForce() bool { return n.replica.View().Workspaces.Limited() }

// forwardWithinQuota has targets run a request if its workspace's quota allows it. What
// is refused by them gives its place in the quota back.
func (n *Node) forwardWithinQuota(ctx context.Context, r *request) result {
	admission, refusal, err := n.quotas.Admit(ctx, r.workspace)
	if err != nil {
		return refusedResult(unassignedReason(ctx), minRetryAfter)
	}
	if refusal != nil {
		n.refused.add(r.service)
		return refusedResult(refusal.Reason, refusal.RetryAfter)
	}
	res := n.forward(ctx, r)
	if res.outcome.Kind == outcome.NotRun {
		n.quotas.GiveBack(admission)
	}
	return res
}

// refusals counts the requests that this node refuses by itself, by service, until a home
// is told: it has to use more of the targets while much is not served, whoever refuses it.
// The zero value is ready for use. It is safe for concurrent use.
type refusals struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *refusals) add(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[service]++
}

// take returns the number since the last call.
func (c *refusals) take(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts[service]
	delete(c.counts, service)
	return n
}
