package gateway

import "time"

const (
	// noticeTime is how long the balancer takes to send no more connections
	// here once the node is not ready: two checks, a second apart.
	noticeTime = 2500 * time.Millisecond
	// refuseTime is how long after the start of the drain requests are still
	// taken: later ones might not end before the node has to.
	refuseTime = 2900 * time.Millisecond
	// exitMargin is how long before SIGKILL the node ends by itself.
	exitMargin = 700 * time.Millisecond
	// quietTime is the time without a new connection or request after which the
	// node ends early: callers that were sent here before the balancer noticed
	// may still be about to send.
	quietTime = 1200 * time.Millisecond
	// settleInterval is how often the node looks whether all is answered.
	settleInterval = 20 * time.Millisecond
)

// drain lets the balancer notice that the node is not ready, goes on serving
// until callers have turned to others and all is answered, and returns before
// the host would kill the process.
func (n *Node) drain() {
	start := time.Now()
	end := start.Add(max(n.settings.Bounds.Shutdown-exitMargin, noticeTime))
	n.draining.Store(true)
	time.AfterFunc(refuseTime, func() { n.refusing.Store(true) })
	n.log.Info("stopping", "in_flight", n.callers.InFlight(), "until", end)
	n.follower.Leave()
	n.callers.Drain()
	time.Sleep(noticeTime)
	for time.Now().Before(end) && (n.callers.InFlight() > 0 || n.callers.Quiet() < quietTime) {
		time.Sleep(settleInterval)
	}
	if err := n.callers.StopAccepting(); err != nil {
		n.log.Warn("close listener", "error", err)
	}
	n.callers.CloseIdle()
}
