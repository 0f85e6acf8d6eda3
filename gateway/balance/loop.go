package balance

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"filbertmill.example/event"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/gateway/suspend"
	"filbertmill.example/poison"
	"filbertmill.example/pool"
)

const (
	// commandQueueSize is the capacity of the Loop's command queue.
	commandQueueSize = 4096
	// sweepInterval is how often attempts that their node has not reported as ended
	// are cancelled.
	sweepInterval = 500 * time.Millisecond
	// clockStart is the Clock of a new Loop. It exceeds the age of any message that a
	// new Loop may receive, so that the sending time is positive.
	clockStart = time.Hour
	// reportGrace is how long after its deadline the result of an attempt may still
	// be reported.
	reportGrace = time.Second
)

// Config configures a Loop.
type Config struct {
	// FloorShare determines the floor of each service: the share of its slots below
	// which ejections may not reduce its healthy capacity.
	FloorShare float64
	// TokenLife is how long a retry token is valid.
	TokenLife time.Duration
	// Seed makes the choice between equally good targets repeatable.
	Seed uint64
	// Log receives the decisions.
	Log hclog.Logger
	// Stats counts second attempts and permits. If it is nil, they are not counted.
	Stats *Stats
}

// Loop is an event loop that assigns attempts to targets. Its methods may be called
// from any goroutine. The Loop calls reply functions in its own goroutine, so that
// they must not block.
type Loop struct {
	cfg      Config
	stats    *Stats
	started  time.Time
	commands chan func(now time.Time)
	done     chan struct{}

	// The fields below are used only by the Loop's goroutine.
	view      *replica.View
	services  map[string]*service
	poison    *poison.Tracker
	resets    *recentResets
	lastID    pool.RequestID
	lastSweep time.Time
	pending   []pendingAttempt
	// suspended is the last observed total time for which the host was suspended.
	suspended time.Duration
}

// New returns a Loop. It processes nothing until Run is called.
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

		suspended: suspend.Total(),
	}
}

// Clock returns the Loop's own time. It advances from clockStart when the Loop is
// created, so that 0 can stand for a time that is not known.
func (l *Loop) Clock() time.Duration { return l.clockAt(time.Now()) }

func (l *Loop) clockAt(now time.Time) time.Duration { return clockStart + now.Sub(l.started) }

// Run runs the Loop until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-l.commands:
			l.dropTokensAfterSuspension()
			command(time.Now())
			l.runQueuedCommands()
		case <-timer.C:
			l.dropTokensAfterSuspension()
		}
		timer.Reset(l.tick(time.Now()))
	}
}

// runQueuedCommands runs the commands that are already queued.
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

// tick does the timed work that is due, and returns the time until more is due.
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

// enqueue queues a command for the Loop's goroutine. It reports false once the Loop
// has ended.
func (l *Loop) enqueue(command func(now time.Time)) bool {
	select {
	case l.commands <- command:
		return true
	case <-l.done:
		return false
	}
}

// SetView puts a new configuration and list of targets into force.
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

// Submit requests a target. The Loop calls reply once, with the granted target or a
// refusal, unless the attempt is cancelled first.
func (l *Loop) Submit(a Attempt, reply func(Grant)) {
	l.enqueue(func(now time.Time) {
		if !l.hasView() {
			l.pending = append(l.pending, pendingAttempt{a, now, reply})
			return
		}
		l.service(a.Service, now).submit(now, a, reply)
	})
}

// Cancel cancels an attempt, whether it still waits or was granted in the meantime.
func (l *Loop) Cancel(service string, id ID) {
	l.enqueue(func(now time.Time) {
		l.cancelPending(id)
		l.service(service, now).cancel(now, id)
	})
}

// Finish reports the result of a granted attempt.
func (l *Loop) Finish(r Report) {
	l.enqueue(func(now time.Time) { l.service(r.Service, now).finish(now, r) })
}

// query calls a function in the Loop's goroutine and returns its result, or the zero
// value once the Loop has ended.
func query[T any](l *Loop, compute func(now time.Time) T) T {
	reply := make(chan T, 1)
	if l.enqueue(func(now time.Time) { reply <- compute(now) }) {
		select {
		case result := <-reply:
			return result
		case <-l.done:
		}
	}
	var zero T
	return zero
}

// Snapshots returns the state of all schedulers.
func (l *Loop) Snapshots() []pool.Snapshot {
	return query(l, func(now time.Time) []pool.Snapshot {
		list := make([]pool.Snapshot, 0, len(l.services))
		for _, s := range l.services {
			list = append(list, s.sched.Snapshot(now))
		}
		return list
	})
}

// service returns the state of a service, which it creates on first use.
func (l *Loop) service(name string, now time.Time) *service {
	s := l.services[name]
	if s == nil {
		s = newService(l, name, now)
		l.services[name] = s
	}
	return s
}

// logEvent logs a decision of a scheduler.
func (l *Loop) logEvent(e event.Event) {
	l.cfg.Log.Info("decision", "kind", e.Kind, "rule", e.Rule, "service", e.Service, "target", e.Target,
		"request", e.Request, "from", e.From, "to", e.To, "evidence", e.Evidence, "revision", l.view.Revision)
}
