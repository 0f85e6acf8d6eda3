package drive

import (
	"maps"
	"slices"
	"time"

	"filbertmill.example/pool"
)

// absolveDelay is the time from a crash to the call of Absolve. It stands for the
// time needed to detect that a request crashes targets.
const absolveDelay = 200 * time.Millisecond

// target is a simulated target.
type target struct {
	name      string
	slots     int
	running   map[pool.RequestID]*attempt
	answers   int
	downUntil time.Duration
}

// exchange has the target accept the attempt or refuse it.
func (r *run) exchange(id pool.RequestID, a *attempt) {
	t := a.target
	_, refusing := r.active(t.name, KindRefusing)
	_, cut := r.active(t.name, KindLink)
	if refusing || cut || r.now < t.downUntil {
		r.after(networkTime, func() { r.finish(id, a, pool.VerdictUnreachable) })
		return
	}
	if len(t.running) >= r.slotsOf(t) {
		r.after(networkTime, func() { r.finish(id, a, pool.VerdictRefused) })
		return
	}
	if t.running == nil {
		t.running = make(map[pool.RequestID]*attempt)
	}
	t.running[id] = a
	r.runAttempt(id, a)
}

// runAttempt runs the attempt until its answer or its deadline.
func (r *run) runAttempt(id pool.RequestID, a *attempt) {
	left := a.request.deadline - r.now
	a.service = r.serviceTime(a)
	verdict := r.verdict(a.target.name)
	hangs := r.affects(a.target.name, KindHanging)
	if hangs || a.service+networkTime > left {
		a.service = left
		r.after(left, func() { r.releaseSlot(id, a, pool.VerdictTimeout) })
		return
	}
	if r.affects(a.target.name, KindResetting) {
		a.service = 0
		r.after(networkTime, func() { r.releaseSlot(id, a, pool.VerdictReset) })
		return
	}
	if a.request.arrival.Poison {
		r.after(a.service, func() { r.crash(a.target) })
		return
	}
	r.after(a.service+networkTime, func() { r.releaseSlot(id, a, verdict) })
}

// releaseSlot ends the attempt at the target and frees its slot.
func (r *run) releaseSlot(id pool.RequestID, a *attempt, v pool.Verdict) {
	if a.ended {
		return
	}
	delete(a.target.running, id)
	a.target.answers++
	r.finish(id, a, v)
}

// crash resets all attempts that the target runs and keeps it down for crashTime.
func (r *run) crash(t *target) {
	t.downUntil = r.now + crashTime
	for _, id := range slices.Sorted(maps.Keys(t.running)) {
		a := t.running[id]
		delete(t.running, id)
		r.finish(id, a, pool.VerdictReset)
	}
	if !r.opts.Absolve {
		return
	}
	since := r.clock().Add(-time.Millisecond)
	r.after(absolveDelay, func() {
		for _, n := range r.nodes {
			n.call(func(now time.Time) { n.scheduler.Absolve(now, t.name, since) })
		}
	})
}

func (r *run) slotsOf(t *target) int {
	if c, ok := r.active(t.name, KindShedding); ok {
		return int(c.Value)
	}
	return t.slots
}

// serviceTime returns how long the target works on the attempt.
func (r *run) serviceTime(a *attempt) time.Duration {
	factor := 1.0
	if c, ok := r.active(a.target.name, KindSlow); ok {
		factor = c.Value
	}
	if c, ok := r.active(a.target.name, KindCold); ok {
		factor = max(1, c.Value-float64(a.target.answers)/4)
	}
	return time.Duration(factor * float64(a.request.arrival.Work))
}

// verdict returns the verdict on an exchange that ends before the deadline.
func (r *run) verdict(name string) pool.Verdict {
	switch {
	case r.affects(name, KindFailing):
		return pool.VerdictServerError
	case r.affects(name, KindTruncating):
		return pool.VerdictTruncated
	default:
		return pool.VerdictAnswered
	}
}
