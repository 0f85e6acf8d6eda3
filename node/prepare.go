package node

import "time"

// prepareInterval is the time between two looks at which services this node is
// home of.
const prepareInterval = 250 * time.Millisecond

// prepare makes the pools of the services whose home this node is, so that a
// new home has seen its targets before the first request comes.
func (c *controlLoop) prepare(now time.Time) {
	if now.Sub(c.prepared) < prepareInterval {
		return
	}
	c.prepared = now
	for _, service := range c.env.homeOf() {
		c.pool(service, now)
	}
}

// homeOf implements environment. A node that has not joined the fleet yet would
// take itself for the home of every service.
func (n *Node) homeOf() []string {
	if !n.ready.Load() || n.draining.Load() || !n.membership.agent.Ready().Ready {
		return nil
	}
	return n.membership.agent.View().ServicesHomedAt(n.settings.Name)
}
