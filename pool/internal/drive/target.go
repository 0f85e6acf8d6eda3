package drive

import (
	"maps"
	"slices"
	"time"

	"filbertmill.example/pool"
)

// absolveDelay is how long it takes to find that a request crashes targets.
const absolveDelay = 200 * time.Millisecond

// target is a scripted target.
type target struct {
	name      string
	slots     int
	running   map[pool.RequestID]*attempt
	answers   int
	downUntil time.Duration
}

// exchange has the target take the attempt, or not.
func (r *run) exchange(id pool.RequestID, a *attempt) {
	t := a.target
	_, refusing := r.active(t.name, KindRefusing)
	_, cut := r.active(t.name, KindLink)
	if refusing || cut || r.now < t.downUntil {
		r.after(network, func() { r.finish(id, a, pool.VerdictUnreachable) })
		return
	}
	if len(t.running) >= r.slotsOf(t) {
		r.after(network, func() { r.finish(id, a, pool.VerdictRefused) })
		return
	}
	if t.running == nil {
		t.running = make(map[pool.RequestID]*attempt)
	}
	t.running[id] = a
	r.work(id, a)
}

// work runs the attempt until its answer or its deadline.
func (r *run) work(id pool.RequestID, a *attempt) {
	left := a.request.deadline - r.now
	a.service = r.serviceTime(a)
	verdict := r.verdict(a.target.name)
	hangs := r.happens(a.target.name, KindHanging)
	if hangs || a.service+network > left {
		a.service = left
		r.after(left, func() { r.leaveSlot(id, a, pool.VerdictTimeout) })
		return
	}
	if a.request.arrival.Poison {
		r.after(a.service, func() { r.crash(a.target) })
		return
	}
	r.after(a.service+network, func() { r.leaveSlot(id, a, verdict) })
}

// leaveSlot ends the attempt at the target.
func (r *run) leaveSlot(id pool.RequestID, a *attempt, v pool.Verdict) {
	if a.ended {
		return
	}
	delete(a.target.running, id)
	a.target.answers++
	r.finish(id, a, v)
}

// crash resets all that the target runs and keeps it down for a while.
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

// verdict returns how an exchange that ends in time ends.
func (r *run) verdict(name string) pool.Verdict {
	switch {
	case r.happens(name, KindFailing):
		return pool.VerdictServerError
	case r.happens(name, KindTruncating):
		return pool.VerdictTruncated
	default:
		return pool.VerdictAnswered
	}
}
