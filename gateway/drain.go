package gateway

import (
	"context"
	"time"
)

const (
	// noticeTime is how long the balancer takes to send no more connections
	// here once the node is not ready: two checks, a second apart.
	noticeTime = 2500 * time.Millisecond
	// refuseTime is how long after the start of the drain requests are still
	// taken: later ones might not end before the node has to.
	refuseTime = 2900 * time.Millisecond
	// workShare is the part of the time between SIGTERM and SIGKILL in which no
	// work is broken off, and workMargin what is added to it: targets must be
	// seen to be still at work after that part.
	workShare  = 5.0 / 6
	workMargin = 50 * time.Millisecond
	// deliveryTime is how long before its end the node ends the work that is
	// left: its answers, and those that wait behind them, are written in it.
	deliveryTime = 500 * time.Millisecond
	// exitMargin is how long before SIGKILL the node ends by itself. The last log
	// lines may take 200 ms, and a busy host may be late with the signal and with
	// the end by 100 ms each.
	exitMargin = 400 * time.Millisecond
	// defaultShutdown is taken for the time between SIGTERM and SIGKILL where no
	// bound on it is in force.
	defaultShutdown = 10 * time.Second
	// quietTime is the time without a new connection or request after which the
	// node ends early: callers that were sent here before the balancer noticed
	// may still be about to send.
	quietTime = 1200 * time.Millisecond
	// settleInterval is how often the node looks whether all is answered.
	settleInterval = 20 * time.Millisecond
)

// schedule says when the parts of a drain are due.
type schedule struct {
	// refuse is when requests begin to be refused, cut when the work that is left
	// is ended, and end when the process leaves.
	refuse, cut, end time.Time
}

// newSchedule returns the schedule of a drain from start on; shutdown is the
// time until SIGKILL.
func newSchedule(start time.Time, shutdown time.Duration) schedule {
	if shutdown <= 0 {
		shutdown = defaultShutdown
	}
	end := shutdown - exitMargin
	cut := max(end-deliveryTime, min(time.Duration(workShare*float64(shutdown))+workMargin, end))
	return schedule{refuse: start.Add(min(refuseTime, cut)), cut: start.Add(cut), end: start.Add(end)}
}

// drain lets the balancer notice that the node is not ready, goes on serving
// until callers have turned to others and all is answered, and returns before
// the host would kill the process. Work that lasts longer is ended in time for
// its answer, and for those that wait behind it, to be written.
func (n *Node) drain() {
	start := time.Now()
	s := newSchedule(start, n.settings.Bounds.Shutdown)
	n.draining.Store(true)
	time.AfterFunc(time.Until(s.refuse), func() {
		n.refusing.Store(true)
		n.callers.StopPipelining()
	})
	n.log.Info("stopping", "in_flight", n.callers.InFlight(), "until", s.end)
	n.follower.Leave()
	n.callers.Drain()
	cut := time.AfterFunc(time.Until(s.cut), n.endWork)
	defer cut.Stop()
	noticed := start.Add(noticeTime)
	await(s.cut, func() bool {
		return time.Now().After(noticed) && n.callers.InFlight() == 0 && n.callers.SinceLastArrival() >= quietTime
	})
	// What arrived on a connection before its end was sent is still served, and an
	// answer has arrived for certain once the caller has closed.
	ctx, cancel := context.WithDeadline(context.Background(), s.end)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Info("connections of callers were not closed in time", "error", err)
	}
}

// endWork ends the work that is left.
func (n *Node) endWork() {
	if left := n.callers.InFlight(); left > 0 {
		n.log.Warn("ending the work that is left", "in_flight", left)
	}
	close(n.leaving)
}

// await waits until done, or until the end.
func await(end time.Time, done func() bool) {
	for !done() && time.Now().Before(end) {
		time.Sleep(settleInterval)
	}
}
