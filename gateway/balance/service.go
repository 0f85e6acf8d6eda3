package balance

import (
	"math"
	"slices"
	"strconv"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
	"filbertmill.example/poison"
	"filbertmill.example/pool"
	"filbertmill.example/retry"
)

const (
	// queueLimit bounds the waiting attempts of one service; deadlines refuse
	// most long before.
	queueLimit = 2048
)

// service is the state of one service; it is the Delegate of its Scheduler.
type service struct {
	loop    *Loop
	name    string
	sched   pool.LeastCost
	retries *retry.Bucket
	// held are the second attempts that may still wait for a target, in the
	// order in which their tokens were taken.
	held []pool.RequestID
	ids  map[ID]pool.RequestID
	open map[pool.RequestID]*open
	// asked is when an attempt was last submitted.
	asked time.Time
}

// open is an attempt that was submitted and not ended.
type open struct {
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
		loop:    l,
		name:    name,
		retries: retry.NewBucket(l.cfg.TokenLife),
		ids:     make(map[ID]pool.RequestID),
		open:    make(map[pool.RequestID]*open),
	}
	s.sched = pool.NewLeastCost(s.config(), s, l.cfg.Seed)
	s.configure(now)
	return s
}

// config returns the Scheduler's settings.
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

// configure takes the targets and settings of the view in force.
func (s *service) configure(now time.Time) {
	connections := 0
	if svc := s.loop.view.Service(s.name); svc != nil {
		connections = svc.Connections
	}
	var targets []pool.Target
	for _, t := range s.loop.view.Targets[s.name] {
		targets = append(targets, pool.Target{
			Name: t.Name(), AvailabilityZone: t.AvailabilityZone,
			Slots: t.Slots, Connections: connections, Leaving: t.Leaving,
		})
	}
	s.sched.SetConfig(now, s.config())
	s.sched.SetTargets(now, targets)
}

func (s *service) submit(now time.Time, a Attempt, reply func(Grant)) {
	if e, refuse := s.loop.poison.Check(now, a.Fingerprint); refuse {
		s.loop.cfg.Log.Info("request refused: requests like it crash targets",
			"request", a.Request, "fingerprint", a.Fingerprint, "until", e.Until)
		reply(Grant{Reason: outcome.ReasonPoison, RetryAfter: e.Until.Sub(now)})
		return
	}
	s.takeDeposit(now, a.Deposit, a.SentAt)
	s.noteAsked(now)
	if a.second() && !s.mayRepeat(now, a) {
		reply(Grant{Reason: outcome.ReasonNoTarget})
		return
	}
	s.loop.lastID++
	id := s.loop.lastID
	if a.second() {
		s.held = append(s.held, id)
	}
	o := &open{Attempt: a, deadline: now.Add(a.TimeLeft), reply: reply, submitted: now, tokenTaken: now}
	s.open[id] = o
	s.ids[a.ID] = id
	s.sched.Submit(now, pool.Request{
		ID: id, Route: a.Route, Idempotent: a.Idempotent, Deadline: o.deadline,
		SoftDeadline: now.Add(min(a.DueLeft, a.TimeLeft)), Priority: a.Priority, LastAttempt: a.Last,
		Exclude: s.names(a.Exclude), Prefer: s.names(a.Prefer), Only: s.names(a.Only), Avoid: s.names(a.Avoid),
		AvailabilityZone: a.AvailabilityZone,
	})
}

// names returns the names of the service's targets with the given hashes.
func (s *service) names(hashes []TargetHash) []string {
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
	o := s.end(now, r.ID, pool.Result{Verdict: r.Verdict, Latency: r.Latency, Leaving: r.Leaving})
	if o != nil && o.target != "" {
		s.judgePoison(now, o, r)
	}
}

// end ends an attempt, whether it waits or runs. It returns nil if the attempt
// is not known.
func (s *service) end(now time.Time, id ID, res pool.Result) *open {
	number, ok := s.ids[id]
	if !ok {
		return nil
	}
	o := s.open[number]
	s.forget(number)
	if o.target == "" {
		s.sched.Cancel(now, number)
	} else {
		s.sched.Finish(now, number, res)
	}
	return o
}

// judgePoison tells the poison tracker of a crash or of an answer.
func (s *service) judgePoison(now time.Time, o *open, r Report) {
	if r.Verdict == pool.VerdictAnswered {
		s.loop.poison.RecordSuccess(o.Fingerprint)
		s.loop.broken.drop(o.Fingerprint)
		return
	}
	if r.Verdict == pool.VerdictReset {
		s.loop.broken.add(now, o.Fingerprint)
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

// forget drops an attempt that has ended.
func (s *service) forget(number pool.RequestID) {
	delete(s.ids, s.open[number].ID)
	delete(s.open, number)
}

// sweep gives up attempts whose node has not reported their end.
func (s *service) sweep(now time.Time) {
	for _, o := range s.open {
		if now.After(o.deadline.Add(reportGrace)) {
			s.cancel(now, o.ID)
		}
	}
}

// tick does what is due and returns the time until more is.
func (s *service) tick(now time.Time) time.Duration {
	s.renewHeld(now)
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
	o := s.open[id]
	o.target = target
	o.started = time.Now()
	g := Grant{Target: target, Usual: s.sched.UsualLatency(o.Route), Doubtful: s.loop.broken.has(o.Fingerprint)}
	if o.Repeat != First {
		g.Waited, g.Left = o.started.Sub(o.submitted), s.retries.Left(o.started)
	}
	o.reply(g)
}

// Refuse implements pool.Delegate.
func (s *service) Refuse(id pool.RequestID, r pool.Refusal) {
	o := s.open[id]
	s.forget(id)
	o.reply(Grant{Reason: r.Reason, RetryAfter: r.RetryAfter})
}

// Probe implements pool.Delegate. The Scheduler asks for none: health checks
// say nothing about gray failures.
func (s *service) Probe(string, pool.Origin) {}

// Event implements pool.Delegate. The Scheduler knows attempts by numbers of
// its own; operators know requests by the ids of the callers.
func (s *service) Event(e event.Event) {
	if n, err := strconv.ParseUint(e.Request, 10, 64); err == nil {
		if o := s.open[pool.RequestID(n)]; o != nil {
			e.Request = o.Request
		}
	}
	s.loop.logEvent(e)
}
