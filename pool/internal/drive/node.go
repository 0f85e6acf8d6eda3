package drive

import (
	"time"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
	"filbertmill.example/pool"
)

// request is one request of the trace with its progress.
type request struct {
	arrival       Arrival
	arrived       time.Duration
	deadline      time.Duration
	attempts      int
	failedTargets []string
	started       bool
}

// attempt is one attempt of a request, submitted to a node.
type attempt struct {
	request *request
	node    *node
	target  *target
	began   time.Duration
	// service is the time that the target works on it, unless a crash ends the
	// attempt earlier.
	service time.Duration
	ended   bool
}

// node runs one scheduler and is its Delegate.
type node struct {
	run       *run
	scheduler pool.Scheduler
	attempts  map[pool.RequestID]*attempt
	pending   []event.Event
	tickAt    time.Duration
}

func (r *run) startNodes() {
	for i := range r.opts.Nodes {
		n := &node{run: r, attempts: make(map[pool.RequestID]*attempt)}
		cfg := r.opts.Config
		cfg.Service = r.trace.Name
		cfg.FloorSlots = r.trace.FloorSlots
		n.scheduler = r.opts.New(cfg, n, r.opts.Seed+uint64(i)<<32)
		r.nodes = append(r.nodes, n)
		n.updateTargets()
	}
}

// updateTargets passes the list of targets to the scheduler, now and then once per
// listInterval.
func (n *node) updateTargets() {
	var listed []pool.Target
	for i := range n.run.trace.Targets {
		name := TargetName(i)
		if _, gone := n.run.active(name, KindUnlisted); gone {
			continue
		}
		_, leaving := n.run.active(name, KindListedLeaving)
		listed = append(listed, pool.Target{
			Name: name, Slots: n.run.trace.Slots, Connections: 330, Leaving: leaving,
		})
	}
	n.call(func(now time.Time) { n.scheduler.SetTargets(now, listed) })
	n.run.after(listInterval, n.updateTargets)
}

// call calls the scheduler and then schedules its next tick.
func (n *node) call(f func(now time.Time)) {
	f(n.run.clock())
	if n.run.opts.Check != nil {
		n.run.opts.Check(n.scheduler, n.run.clock(), n.pending)
	}
	n.pending = nil
	n.scheduleTick()
}

func (n *node) scheduleTick() {
	next := n.scheduler.Next()
	if next.IsZero() {
		return
	}
	due := max(next.Sub(epoch), n.run.now)
	if n.tickAt > n.run.now || (n.tickAt == due && n.tickAt > 0 && due > n.run.now) {
		return
	}
	due = max(due, n.run.now+time.Millisecond)
	n.tickAt = due
	n.run.after(due-n.run.now, func() {
		n.tickAt = 0
		n.call(n.scheduler.Tick)
	})
}

func (r *run) arrive(a Arrival) {
	req := &request{arrival: a, arrived: r.now, deadline: r.now + time.Duration(a.Timeout)}
	r.report.offered(req)
	r.tokens = min(r.tokens+retryShare, 10)
	r.submit(req)
}

func (r *run) submit(req *request) {
	n := r.nodes[r.rng.IntN(len(r.nodes))]
	r.nextID++
	id := r.nextID
	req.attempts++
	n.attempts[id] = &attempt{request: req, node: n}
	n.call(func(now time.Time) {
		n.scheduler.Submit(now, pool.Request{
			ID:         id,
			Route:      req.arrival.Route,
			Caller:     req.arrival.Caller,
			Idempotent: req.arrival.Idempotent,
			Deadline:   epoch.Add(req.deadline),
			Exclude:    req.failedTargets,
		})
	})
}

// Start implements pool.Delegate.
func (n *node) Start(id pool.RequestID, name string) {
	a := n.attempts[id]
	a.target = n.run.targets[name]
	a.began = n.run.now
	if !a.request.started {
		a.request.started = true
		n.run.report.waited(a.request, n.run.now-a.request.arrived)
	}
	n.run.report.sent(name, n.run.now)
	n.run.after(0, func() { n.run.exchange(id, a) })
}

// Refuse implements pool.Delegate.
func (n *node) Refuse(id pool.RequestID, ref pool.Refusal) {
	a := n.attempts[id]
	delete(n.attempts, id)
	n.run.report.refused(a.request, ref.Reason, n.run.now)
}

// Probe implements pool.Delegate.
func (n *node) Probe(name string, origin pool.Origin) {
	r := n.run
	r.report.Probes++
	r.after(probeTime, func() {
		_, down := r.active(name, KindRefusing)
		_, dead := r.active(name, KindDeadProbe)
		_, cut := r.active(name, KindLink)
		cut = cut && origin == pool.OriginHome
		_, leaving := r.active(name, KindLeaving)
		reachable := !down && !dead && !cut && r.now >= r.targets[name].downUntil
		n.call(func(now time.Time) {
			n.scheduler.Observe(now, pool.Observation{
				Target: name, Origin: origin, Latency: probeTime,
				Reachable: reachable,
				Leaving:   leaving && reachable,
			})
		})
	})
}

// Event implements pool.Delegate.
func (n *node) Event(e event.Event) {
	n.pending = append(n.pending, e)
	n.run.report.event(n, e)
}

// finish reports the end of an attempt to its scheduler, and ends or retries the
// request.
func (r *run) finish(id pool.RequestID, a *attempt, v pool.Verdict) {
	if a.ended {
		return
	}
	a.ended = true
	_, leaving := r.active(a.target.name, KindLeaving)
	res := pool.Result{Verdict: v, Latency: r.now - a.began, Leaving: leaving && v != pool.VerdictUnreachable}
	delete(a.node.attempts, id)
	r.report.recordAttempt(a, v, r.now)
	a.node.call(func(now time.Time) { a.node.scheduler.Finish(now, id, res) })
	r.endOrRetry(a, v)
}

// endOrRetry ends the request, or submits it again if this is safe and there are
// attempts, retry tokens and time left.
func (r *run) endOrRetry(a *attempt, v pool.Verdict) {
	req := a.request
	if v == pool.VerdictAnswered {
		r.report.answered(req, r.now)
		return
	}
	notRun := v == pool.VerdictRefused || v == pool.VerdictUnreachable
	again := (notRun || req.arrival.Idempotent) && v != pool.VerdictTimeout
	if !again || req.attempts >= attemptLimit || r.tokens < 1 || r.now >= req.deadline {
		reason := outcome.ReasonConnectionLost
		if notRun {
			reason = outcome.ReasonTargetRefused
		}
		r.report.failed(req, reason, r.now)
		return
	}
	r.tokens--
	req.failedTargets = append(req.failedTargets, a.target.name)
	r.submit(req)
}
