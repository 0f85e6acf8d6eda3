package node

import "time"

// drainPoll is the interval at which a drain checks whether requests are still in
// flight.
const drainPoll = 20 * time.Millisecond

// drain ends the node's work without breaking off any request. It first reports
// the node as not ready and accepts requests for the drain delay, in which the
// balancer notices it. Then it waits for the requests in flight. Requests that
// callers still send on open connections are refused from then on, because they
// would be broken off when the listeners close.
func (n *Node) drain() {
	n.ready.Store(false)
	n.draining.Store(true)
	n.log.Info("draining", "delay", n.settings.DrainDelay.String(), "timeout", n.settings.DrainTimeout.String())
	n.control.send(witnessLeavingCommand{})
	n.membership.leave()
	time.Sleep(n.settings.DrainDelay)
	n.refusing.Store(true)
	deadline := time.Now().Add(n.settings.DrainTimeout)
	for n.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	if left := n.inFlight.Load(); left > 0 {
		n.log.Error("drain timeout passed", "in_flight", left)
		return
	}
	n.log.Info("drained")
}
