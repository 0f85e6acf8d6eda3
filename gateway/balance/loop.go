package balance

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"filbertmill.example/event"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/poison"
	"filbertmill.example/pool"
	"filbertmill.example/retry"
)

const (
	// mailboxSize is the number of commands that wait for the goroutine.
	commandQueueSize = 4096
	// sweepInterval is how often attempts whose node went silent are given up.
	sweepInterval = 500 * time.Millisecond
	// reportGrace is how long after its deadline the end of an attempt may
	// still be reported.
	reportGrace = time.Second
)

// Config holds what a Loop needs.
type Config struct {
	// FloorShare is the share of a service's slots below which no ejection may
	// take its healthy capacity.
	FloorShare float64
	// TokenLife is how long a retry token is good for a second attempt.
	TokenLife time.Duration
	// Seed makes ties repeatable.
	Seed uint64
	// Log receives the decisions.
	Log hclog.Logger
	// Stats counts second attempts; nil counts nothing.
	Stats *Stats
}

// Loop assigns attempts to targets. Its methods may be called from any
// goroutine; replies come from the Loop's own, and must not block.
type Loop struct {
	cfg      Config
	stats    *Stats
	started  time.Time
	commands chan func(now time.Time)
	done     chan struct{}

	// All below belongs to the goroutine.
	view      *replica.View
	services  map[string]*service
	poison    *poison.Tracker
	resets    *recentResets
	lastID    pool.RequestID
	lastSweep time.Time
	pending   []pendingAttempt
	// suspended is the time that the host has been suspended, as last seen.
	suspended time.Duration
}

// New returns a Loop; Run makes it work.
func New(cfg Config) *Loop {
	return &Loop{
		cfg:      cfg,
		stats:    cfg.Stats,
		started:  time.Now(),
		commands: make(chan func(time.Time), commandQueueSize),
		done:     make(chan struct{}),
		view:     &replica.View{},
		services: make(map[string]*service),
		poison:   poison.NewTracker(poison.DefaultConfig()),
		resets:   newRecentResets(),

		suspended: suspendedTime(),
	}
}

// Clock returns the time since the Loop was made.
func (l *Loop) Clock() time.Duration { return time.Since(l.started) }

// Run works until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-l.commands:
			command(time.Now())
			l.runQueuedCommands()
		case <-timer.C:
		}
		timer.Reset(l.tick(time.Now()))
	}
}

// drainMailbox runs the commands that are already waiting.
func (l *Loop) runQueuedCommands() {
	for range commandQueueSize {
		select {
		case command := <-l.commands:
			command(time.Now())
		default:
			return
		}
	}
}

// tick does what is due and returns the time until more is.
func (l *Loop) tick(now time.Time) time.Duration {
	if now.Sub(l.lastSweep) >= sweepInterval {
		l.lastSweep = now
		for _, s := range l.services {
			s.sweep(now)
		}
	}
	l.expirePending(now)
	wait := sweepInterval
	if len(l.pending) > 0 {
		wait = firstViewTimeout / 4
	}
	for _, s := range l.services {
		wait = min(wait, s.tick(now))
	}
	return max(wait, time.Millisecond)
}

// send hands a command over; it reports false once the Loop has ended.
func (l *Loop) enqueue(command func(now time.Time)) bool {
	select {
	case l.commands <- command:
		return true
	case <-l.done:
		return false
	}
}

// SetView brings a new configuration and list of targets into force.
func (l *Loop) SetView(v *replica.View) {
	l.enqueue(func(now time.Time) {
		l.view = v
		for _, s := range l.services {
			s.configure(now)
		}
		if l.hasView() {
			l.submitPending(now)
		}
	})
}

// Submit asks for a target. The reply, called once, tells of a grant or a refusal.
func (l *Loop) Submit(a Attempt, reply func(Grant)) {
	l.enqueue(func(now time.Time) {
		if !l.hasView() {
			l.pending = append(l.pending, pendingAttempt{a, now, reply})
			return
		}
		l.service(a.Service, now).submit(now, a, reply)
	})
}

// Deposit takes retry tokens that were sent at a time of the Loop's clock.
func (l *Loop) Deposit(service string, d retry.Deposit, sentAt time.Duration) {
	l.enqueue(func(now time.Time) { l.service(service, now).takeDeposit(now, d, sentAt) })
}

// Cancel withdraws an attempt, whether it waits or was granted in the meantime.
func (l *Loop) Cancel(service string, id ID) {
	l.enqueue(func(now time.Time) {
		l.cancelPending(id)
		l.service(service, now).cancel(now, id)
	})
}

// Finish reports the end of a granted attempt.
func (l *Loop) Finish(r Report) {
	l.enqueue(func(now time.Time) { l.service(r.Service, now).finish(now, r) })
}

// ask runs a question in the Loop's goroutine and returns the answer, or the
// zero value once the Loop has ended.
func query[T any](l *Loop, question func(now time.Time) T) T {
	reply := make(chan T, 1)
	if l.enqueue(func(now time.Time) { reply <- question(now) }) {
		select {
		case answer := <-reply:
			return answer
		case <-l.done:
		}
	}
	var none T
	return none
}

// Snapshots returns the state of all Schedulers.
func (l *Loop) Snapshots() []pool.Snapshot {
	return query(l, func(now time.Time) []pool.Snapshot {
		list := make([]pool.Snapshot, 0, len(l.services))
		for _, s := range l.services {
			list = append(list, s.sched.Snapshot(now))
		}
		return list
	})
}

// service returns the state of a service, made on first use.
func (l *Loop) service(name string, now time.Time) *service {
	s := l.services[name]
	if s == nil {
		s = newService(l, name, now)
		l.services[name] = s
	}
	return s
}

// logEvent writes a decision of a Scheduler.
func (l *Loop) logEvent(e event.Event) {
	l.cfg.Log.Info("decision", "kind", e.Kind, "rule", e.Rule, "service", e.Service, "target", e.Target,
		"request", e.Request, "from", e.From, "to", e.To, "evidence", e.Evidence, "revision", l.view.Revision)
}
