package node

import "time"

// prepareInterval is the time between two calls of homedServices. It is also
// the longest time between two ticks of the control goroutine.
const prepareInterval = 250 * time.Millisecond

// preparePools creates the pools of the services whose home this node is, so
// that a new home has probed the targets before the first request arrives.
func (c *controlLoop) preparePools(now time.Time) {
	if now.Sub(c.lastPrepared) < prepareInterval {
		return
	}
	c.lastPrepared = now
	for _, service := range c.env.homedServices() {
		c.pool(service, now)
	}
}

// homedServices implements environment. It returns none before the node is a
// ready member of the fleet: until then it would rank itself as the home of
// every service. It returns none during a drain either.
func (n *Node) homedServices() []string {
	if !n.ready.Load() || n.draining.Load() || !n.membership.agent.Ready().Ready {
		return nil
	}
	return n.membership.agent.View().ServicesHomedAt(n.settings.Name)
}
