package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
)

func newTestHome(cfg Config) (*home, *recorder) {
	r := newRecorder()
	h := NewHome(cfg, r, 1).(*home)
	h.SetTargets(epoch, twoTargets())
	return h, r
}

func submitN(s Scheduler, now time.Time, from, to RequestID) {
	for id := from; id <= to; id++ {
		s.Submit(now, Request{ID: id, Idempotent: true, Deadline: now.Add(10 * time.Second)})
	}
}

func TestHomeNeverExceedsSlots(t *testing.T) {
	c := qt.New(t)
	h, r := newTestHome(Config{})
	submitN(h, epoch, 1, 6)
	c.Assert(r.started, qt.HasLen, 4)
	for _, status := range h.Snapshot(epoch).Targets {
		c.Assert(status.InFlight, qt.Equals, 2)
	}
	h.Finish(epoch, 1, Result{Verdict: VerdictAnswered})
	c.Assert(r.started, qt.HasLen, 5)
	_, started := r.started[5]
	c.Assert(started, qt.IsTrue)
}

func TestHomeCancelLeavesQueue(t *testing.T) {
	c := qt.New(t)
	h, r := newTestHome(Config{})
	submitN(h, epoch, 1, 6)
	h.Cancel(epoch, 5)
	c.Assert(h.Snapshot(epoch).Queued, qt.Equals, 1)
	h.Finish(epoch, 1, Result{Verdict: VerdictAnswered})
	_, started := r.started[6]
	c.Assert(started, qt.IsTrue)
	_, started = r.started[5]
	c.Assert(started, qt.IsFalse)
}

func TestHomeRefusesBeyondQueueLimit(t *testing.T) {
	c := qt.New(t)
	h, r := newTestHome(Config{QueueLimit: 1})
	submitN(h, epoch, 1, 6)
	c.Assert(r.refusal(6), qt.Equals, outcome.ReasonQueueFull)
}

func TestHomeLowersLimitWhileTargetRefuses(t *testing.T) {
	c := qt.New(t)
	h, r := newTestHome(Config{})
	submitN(h, epoch, 1, 4)
	h.Finish(epoch, 1, Result{Verdict: VerdictRefused})
	shedding := h.targets[r.started[1]]
	c.Assert(shedding.capacity(), qt.Equals, 1)
	h.Tick(epoch.Add(DefaultConfig().LimitRecovery))
	c.Assert(shedding.capacity(), qt.Equals, 2)
}

// An attempt whose request has failed on all targets is refused immediately.
func TestHomeRefusesWhatEveryTargetFailed(t *testing.T) {
	c := qt.New(t)
	h, r := newTestHome(Config{})
	var all []string
	for _, target := range twoTargets() {
		all = append(all, target.Name)
	}
	h.Submit(epoch, Request{ID: 1, Idempotent: true, Deadline: epoch.Add(10 * time.Second), Exclude: all})
	c.Assert(r.refusal(1), qt.Equals, outcome.ReasonNoTarget)
	h.Submit(epoch, Request{ID: 2, Idempotent: true, Deadline: epoch.Add(10 * time.Second), Exclude: all[:1]})
	c.Assert(r.started[2], qt.Equals, all[1])
}
