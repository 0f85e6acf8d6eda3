package gateway

import (
	"context"
	"time"
)

const (
	// balancerNoticeTime is how long the balancer takes to stop sending
	// connections to a node that is not ready: two checks, one second apart.
	balancerNoticeTime = 2500 * time.Millisecond
	// acceptTime is how long after the start of the drain requests are still
	// accepted. Later requests might not end before the node has to exit.
	acceptTime = 2900 * time.Millisecond
	// uninterruptedShare is the share of the time between SIGTERM and SIGKILL in
	// which no request is aborted. uninterruptedMargin is added to that time,
	// because targets must be observed to be still working after it.
	uninterruptedShare  = 5.0 / 6
	uninterruptedMargin = 50 * time.Millisecond
	// answerWriteTime is how long before its exit the node aborts the requests
	// that are still in flight. Their answers, and the answers queued behind them,
	// are written in that time.
	answerWriteTime = 500 * time.Millisecond
	// exitMargin is how long before SIGKILL the node exits by itself. Writing the
	// last log lines may take 200 ms, and on a busy host the signal and the exit
	// may be late by 100 ms each.
	exitMargin = 400 * time.Millisecond
	// defaultShutdownTime is the assumed time between SIGTERM and SIGKILL if no
	// limit on it is in force.
	defaultShutdownTime = 10 * time.Second
	// quietTime is the time without a new connection or request after which the
	// node may exit early. Callers that the balancer sent to this node before it
	// noticed the drain may still be about to send a request.
	quietTime = 1200 * time.Millisecond
	// nonIdempotentFactor multiplies the usual duration of work that must not be
	// repeated: it begins in a drain only if that much time is left. Its caller could
	// not tell whether work that was aborted has been done.
	nonIdempotentFactor = 2
	// drainPollInterval is how often the node checks whether all requests are
	// answered.
	drainPollInterval = 20 * time.Millisecond
)

// drainSchedule contains the times of the phases of a drain.
type drainSchedule struct {
	// refuseAt is when the node begins to refuse requests, abortAt when it aborts
	// the requests in flight, and exitAt when the process exits.
	refuseAt, abortAt, exitAt time.Time
}

// newDrainSchedule returns the schedule of a drain that begins at start; shutdown
// is the time until SIGKILL.
func newDrainSchedule(start time.Time, shutdown time.Duration) drainSchedule {
	if shutdown <= 0 {
		shutdown = defaultShutdownTime
	}
	exit := shutdown - exitMargin
	abort := max(exit-answerWriteTime, min(time.Duration(uninterruptedShare*float64(shutdown))+uninterruptedMargin, exit))
	return drainSchedule{refuseAt: start.Add(min(acceptTime, abort)), abortAt: start.Add(abort), exitAt: start.Add(exit)}
}

// drain shuts down request handling. It marks the node as not ready, so that the
// balancer sends callers to other nodes, and serves until no more requests arrive
// and all are answered. It returns before the host would kill the process.
// Requests that take longer are aborted early enough for their answers, and the
// answers queued behind them, to be written.
func (n *Node) drain() {
	start := time.Now()
	s := newDrainSchedule(start, n.settings.Bounds.Shutdown)
	n.abortAt.Store(&s.abortAt)
	n.draining.Store(true)
	time.AfterFunc(time.Until(s.refuseAt), func() {
		n.refusing.Store(true)
		n.callers.StopPipelining()
	})
	n.log.Info("stopping", "in_flight", n.callers.InFlight(), "until", s.exitAt)
	n.follower.Leave()
	n.callers.Drain()
	abortTimer := time.AfterFunc(time.Until(s.abortAt), n.abortInFlight)
	defer abortTimer.Stop()
	noticed := start.Add(balancerNoticeTime)
	pollUntil(s.abortAt, func() bool {
		return time.Now().After(noticed) && n.callers.InFlight() == 0 && n.callers.SinceLastArrival() >= quietTime
	})
	// Requests that arrived on a connection before the node closed its sending side
	// are still served. An answer has certainly arrived once the caller has closed
	// the connection.
	ctx, cancel := context.WithDeadline(context.Background(), s.exitAt)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Info("connections of callers were not closed in time", "error", err)
	}
}

// workEnd returns the time by which work that begins now has to end: the deadline, or
// the abort of the requests in flight if that is earlier.
func (n *Node) workEnd(deadline time.Time) time.Time {
	if abort := n.abortAt.Load(); abort != nil && abort.Before(deadline) {
		return *abort
	}
	return deadline
}

// mayAbort reports whether a drain is likely to abort work on a request that begins now
// and usually takes the given time.
func (n *Node) mayAbort(r *request, usual time.Duration) bool {
	if !r.idempotent {
		usual *= nonIdempotentFactor
	}
	end := n.workEnd(r.deadline)
	return end.Before(r.deadline) && time.Until(end) < usual
}

// abortInFlight aborts the requests that are still in flight.
func (n *Node) abortInFlight() {
	if left := n.callers.InFlight(); left > 0 {
		n.log.Warn("ending the work that is left", "in_flight", left)
	}
	close(n.abort)
}

// pollUntil waits until done returns true, at most until the deadline.
func pollUntil(deadline time.Time, done func() bool) {
	for !done() && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}
