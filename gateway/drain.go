package gateway

import "time"

const (
	// noticeTime is how long the balancer takes to send no more connections
	// here once the node is not ready: two checks, a second apart.
	noticeTime = 2500 * time.Millisecond
	// exitMargin is how long before SIGKILL the node ends by itself.
	exitMargin = 400 * time.Millisecond
	// settleInterval is how often the node looks whether all is answered.
	settleInterval = 20 * time.Millisecond
)

// drain refuses new connections once the balancer has noticed, finishes what
// is in work, and returns before the host would kill the process.
func (n *Node) drain() {
	start := time.Now()
	end := start.Add(max(n.settings.Bounds.Shutdown-exitMargin, noticeTime))
	n.draining.Store(true)
	n.log.Info("stopping", "in_flight", n.callers.InFlight(), "until", end)
	n.follower.Leave()
	n.callers.Drain()
	time.Sleep(noticeTime)
	if err := n.callers.StopAccepting(); err != nil {
		n.log.Warn("close listener", "error", err)
	}
	n.callers.CloseIdle()
	for n.callers.InFlight() > 0 && time.Now().Before(end) {
		time.Sleep(settleInterval)
		n.callers.CloseIdle()
	}
}
