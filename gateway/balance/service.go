package balance

import (
	"math"
	"slices"
	"strconv"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/gateway/limits"
	"filbertmill.example/outcome"
	"filbertmill.example/platform"
	"filbertmill.example/poison"
	"filbertmill.example/pool"
	"filbertmill.example/retry"
)

const (
	// queueLimit limits the queued attempts of one service. Most attempts that cannot
	// be granted are refused long before, because of their deadlines.
	queueLimit = 2048
	// maxRefusedBefore limits what one attempt may state, more than a node refuses in the
	// time over which losses count.
	maxRefusedBefore = 10_000
)

// service is the state of one service. It implements pool.Delegate for the service's
// scheduler.
type service struct {
	loop    *Loop
	name    string
	sched   pool.LeastCost
	retries *retry.Bucket
	// tokenQueue contains the second attempts that may still wait for a target, in
	// the order in which their tokens were taken.
	tokenQueue   []pool.RequestID
	ids          map[ID]pool.RequestID
	openAttempts map[pool.RequestID]*openAttempt
	// limits holds what targets state about the rate of requests that they accept.
	limits *limits.Table
	// now is the time of the call in progress, in which the scheduler may start attempts.
	now time.Time
	// lastSubmit is when an attempt was last submitted.
	lastSubmit time.Time
}

// openAttempt is an attempt that was submitted and has not ended.
type openAttempt struct {
	Attempt
	deadline  time.Time
	reply     func(Grant)
	target    string
	submitted time.Time
	started   time.Time
	// tokenTaken is when the token of a second attempt was taken.
	tokenTaken time.Time
}

func newService(l *Loop, name string, now time.Time) *service {
	s := &service{
		loop:         l,
		name:         name,
		retries:      retry.NewBucket(l.cfg.TokenLife),
		ids:          make(map[ID]pool.RequestID),
		openAttempts: make(map[pool.RequestID]*openAttempt),
		limits:       limits.NewTable(),
	}
	s.sched = pool.NewLeastCost(s.config(), s, l.cfg.Seed)
	s.configure(now)
	return s
}

// config returns the scheduler's configuration.
func (s *service) config() pool.Config {
	slots := 0
	for _, t := range s.loop.view.Targets[s.name] {
		slots += t.Slots
	}
	cfg := pool.DefaultConfig()
	cfg.Service = s.name
	cfg.FloorSlots = int(math.Ceil(float64(slots) * s.loop.cfg.FloorShare))
	cfg.QueueLimit = queueLimit
	return cfg
}

// configure applies the targets and the configuration of the view in force.
func (s *service) configure(now time.Time) {
	s.now = now
	connections := 0
	if svc := s.loop.view.Service(s.name); svc != nil {
		connections = svc.Connections
	}
	var targets []pool.Target
	for _, t := range s.loop.view.Targets[s.name] {
		targets = append(targets, pool.Target{
			Name: t.Name(), AvailabilityZone: t.AvailabilityZone,
			Slots: t.Slots, Connections: connections, Leaving: t.Leaving || s.stated(t).Leaving,
		})
	}
	s.sched.SetConfig(now, s.config())
	s.sched.SetTargets(now, targets)
}

// stated returns what a target has stated in its answers.
func (s *service) stated(t platform.Target) limits.Statement {
	st, _ := s.limits.Get(t.Name())
	return st
}

func (s *service) submit(now time.Time, a Attempt, reply func(Grant)) {
	s.now = now
	source := "attempt of " + a.Request
	if !s.mergeLimits(now, a.Limits, source, a.SentAt) || !s.loop.mergeQuarantine(now, a.Quarantine, source) {
		reply(Grant{NeedsLists: true})
		return
	}
	decided := reply
	reply = func(g Grant) {
		g.Limits = s.listLimits(s.now, a.Limits.Digest)
		g.Quarantine = s.loop.listQuarantine(s.now, a.Quarantine.Digest)
		decided(g)
	}
	if e, refuse := s.loop.poison.Check(now, a.Fingerprint); refuse {
		s.loop.cfg.Log.Info("request refused: requests like it crash targets",
			"request", a.Request, "fingerprint", a.Fingerprint, "until", e.Until)
		reply(Grant{Reason: outcome.ReasonPoison, RetryAfter: e.Until.Sub(now)})
		return
	}
	s.takeDeposit(now, a.Deposit, a.SentAt)
	s.recordSubmit(now)
	if a.RefusedBefore > 0 {
		s.sched.RecordLosses(now, min(a.RefusedBefore, maxRefusedBefore))
	}
	if a.isSecond() && !s.allowSecond(now, a) {
		reply(Grant{Reason: outcome.ReasonNoTarget})
		return
	}
	s.loop.lastID++
	id := s.loop.lastID
	if a.isSecond() {
		s.tokenQueue = append(s.tokenQueue, id)
	}
	o := &openAttempt{Attempt: a, deadline: now.Add(a.TimeLeft), reply: reply, submitted: now, tokenTaken: now}
	s.openAttempts[id] = o
	s.ids[a.ID] = id
	s.sched.Submit(now, s.request(now, id, a))
}

// request returns an attempt as the scheduler gets it.
func (s *service) request(now time.Time, id pool.RequestID, a Attempt) pool.Request {
	return pool.Request{
		ID: id, Route: a.Route, Caller: a.Workspace, CallerWeight: s.weight(a.Workspace), Idempotent: a.Idempotent, Deadline: now.Add(a.TimeLeft),
		SoftDeadline: now.Add(min(a.SoftTimeLeft, a.TimeLeft)), Priority: a.Priority, LastAttempt: a.Last,
		Exclude: s.targetNames(a.Exclude), Paused: s.targetNames(a.Paused), Prefer: s.targetNames(a.Prefer), Only: s.targetNames(a.Only), Avoid: s.targetNames(a.Avoid),
		AvailabilityZone: a.AvailabilityZone,
	}
}

// weight returns the part of a workspace in proportion to those of others.
func (s *service) weight(workspace string) float64 {
	if w := s.loop.view.Workspaces.ByName(workspace); w != nil {
		return w.Rate
	}
	return 0
}

// targetNames returns the names of the service's targets with the given hashes.
func (s *service) targetNames(hashes []TargetHash) []string {
	if len(hashes) == 0 {
		return nil
	}
	var names []string
	for _, t := range s.loop.view.Targets[s.name] {
		if name := t.Name(); slices.Contains(hashes, HashTarget(name)) {
			names = append(names, name)
		}
	}
	return names
}

func (s *service) cancel(now time.Time, id ID) {
	s.end(now, id, pool.Result{Verdict: pool.VerdictCancelled})
}

func (s *service) finish(now time.Time, r Report) {
	if o := s.openAttempts[s.ids[r.ID]]; o != nil {
		s.hear(now, o, r)
	}
	o := s.end(now, r.ID, pool.Result{Verdict: r.Verdict, Latency: r.Latency, Bytes: r.Bytes, Leaving: r.Leaving})
	if o != nil && o.target != "" {
		s.updatePoisonTracker(now, o, r)
	}
}

// end ends an attempt, whether it is queued or was granted. It returns nil if the
// attempt is unknown.
func (s *service) end(now time.Time, id ID, res pool.Result) *openAttempt {
	s.now = now
	number, ok := s.ids[id]
	if !ok {
		return nil
	}
	o := s.openAttempts[number]
	s.forget(number)
	if o.target == "" {
		s.sched.Cancel(now, number)
	} else {
		s.sched.Finish(now, number, res)
	}
	return o
}

// updatePoisonTracker reports a crash or an answer to the poison tracker. If a crash
// puts the request in quarantine, the crashes no longer count as evidence against
// their targets.
func (s *service) updatePoisonTracker(now time.Time, o *openAttempt, r Report) {
	if r.Verdict == pool.VerdictAnswered {
		s.loop.poison.RecordSuccess(now, o.Fingerprint)
		s.loop.resets.remove(o.Fingerprint)
		return
	}
	if r.Lost || r.Verdict == pool.VerdictReset { // nodes of an earlier version don't say lost
		s.loop.resets.add(now, o.Fingerprint)
	}
	if !r.Crashed {
		return
	}
	entry, quarantined := s.loop.poison.RecordCrash(poison.Report{
		Fingerprint: o.Fingerprint, Service: s.name, Route: o.Route, Request: o.Request,
		Crash: poison.Crash{Target: o.target, Started: o.started, Ended: now},
	})
	if !quarantined {
		return
	}
	s.loop.cfg.Log.Warn("request quarantined: it crashed targets", "request", o.Request, "fingerprint", o.Fingerprint)
	for _, c := range entry.Crashes {
		s.sched.Absolve(now, c.Target, c.Started)
	}
}

// forget removes an attempt that has ended.
func (s *service) forget(number pool.RequestID) {
	delete(s.ids, s.openAttempts[number].ID)
	delete(s.openAttempts, number)
}

// sweep cancels attempts whose node has not reported their result in time.
func (s *service) sweep(now time.Time) {
	s.pruneLimits(now)
	for _, o := range s.openAttempts {
		if now.After(o.deadline.Add(reportGrace)) {
			s.cancel(now, o.ID)
		}
	}
}

// tick does the timed work that is due, and returns the time until more is due.
func (s *service) tick(now time.Time) time.Duration {
	s.now = now
	s.renewTokens(now)
	next := s.sched.Next()
	if !next.IsZero() && !next.After(now) {
		s.sched.Tick(now)
		next = s.sched.Next()
	}
	if next.IsZero() {
		return sweepInterval
	}
	return next.Sub(now)
}

// Start implements pool.Delegate.
func (s *service) Start(id pool.RequestID, target string) {
	o := s.openAttempts[id]
	o.target = target
	o.started = s.now
	g := Grant{Target: target, UsualLatency: s.sched.UsualLatency(o.Route), SuspectedPoison: s.loop.resets.has(o.Fingerprint) || s.loop.poison.IsSuspect(o.Fingerprint)}
	if limit, _ := s.limits.Get(target); limit.Limited {
		g.Permit = true
		s.loop.stats.addGrantedPermit(s.name)
	}
	if o.Kind != FirstAttempt {
		g.Waited, g.TokensLeft = o.started.Sub(o.submitted), s.retries.Left(o.started)
	}
	o.reply(g)
}

// Refuse implements pool.Delegate.
func (s *service) Refuse(id pool.RequestID, r pool.Refusal) {
	o := s.openAttempts[id]
	s.forget(id)
	o.reply(Grant{Reason: r.Reason, RetryAfter: r.RetryAfter})
}

// Probe implements pool.Delegate. The scheduler requests no probes here, because
// health checks do not reveal gray failures.
func (s *service) Probe(string, pool.Origin) {}

// Event implements pool.Delegate. It replaces the scheduler's own number of an
// attempt by the caller's request id, which operators know.
func (s *service) Event(e event.Event) {
	if n, err := strconv.ParseUint(e.Request, 10, 64); err == nil {
		if o := s.openAttempts[pool.RequestID(n)]; o != nil {
			e.Request = o.Request
		}
	}
	s.loop.logEvent(e)
}
