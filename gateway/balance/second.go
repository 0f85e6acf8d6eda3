package balance

import (
	"time"

	"filbertmill.example/gateway/suspend"
	"filbertmill.example/outcome"
	"filbertmill.example/retry"
)

const (
	// serviceIdleTime is the time without an attempt for a service after which the
	// next attempt is logged as the start of serving it.
	serviceIdleTime = 3 * time.Second
	// tokenWaitMax is how long a second attempt may wait for a target on one token.
	// The rest of retry.DeliveryTime is for the way to the target.
	tokenWaitMax = 500 * time.Millisecond
)

// isSecond reports whether the attempt is a second attempt: one that sends its
// request to a further target.
func (a *Attempt) isSecond() bool { return a.Kind != FirstAttempt && a.Kind != Redirect }

// takeDeposit adds the tokens of a message to the budget. They are as old as the
// message, which may have been delayed in transit or in the Loop's command queue.
func (s *service) takeDeposit(now time.Time, d retry.Deposit, sentAt time.Duration) {
	age := s.loop.clockAt(now) - sentAt
	if sentAt > 0 && age >= 0 {
		s.retries.Add(now, d, age)
	}
}

// allowSecond takes a token for a second attempt and reports whether there was one.
// A hedged attempt gets none while attempts are queued, because it would take the
// slot of a first attempt.
func (s *service) allowSecond(now time.Time, a Attempt) bool {
	if a.Kind == HedgedAttempt && s.sched.Queued() > 0 {
		s.recordRefusedSecond(now, a, secondWorkWaits)
		return false
	}
	if !s.takeToken(now) {
		s.recordRefusedSecond(now, a, secondBudgetSpent)
		return false
	}
	s.loop.stats.addSecond(s.name, secondGranted)
	return true
}

// takeToken takes a token and reports whether there was one.
func (s *service) takeToken(now time.Time) bool {
	s.loop.dropTokensAfterSuspension()
	return s.retries.Take(now)
}

// dropTokensAfterSuspension drops all retry tokens and permits if the host was
// suspended: they may have expired in the meantime, and the monotonic clock does not
// advance during a suspension.
func (l *Loop) dropTokensAfterSuspension() {
	suspended := suspend.Since(l.suspended)
	if suspended == 0 {
		return
	}
	l.cfg.Log.Warn("the host was suspended; retry tokens and permits are dropped", "suspended_ms", suspended.Milliseconds())
	l.suspended += suspended
	for _, s := range l.services {
		s.retries.Clear()
		s.sched.ClearPermits()
	}
}

// renewTokens takes new tokens for the second attempts that have waited for a target
// for tokenWaitMax, and refuses those for which there is none. A token may not be
// used in a later window than the one in which it was taken.
func (s *service) renewTokens(now time.Time) {
	for len(s.tokenQueue) > 0 {
		id := s.tokenQueue[0]
		o := s.openAttempts[id]
		waits := o != nil && o.target == ""
		if waits && now.Sub(o.tokenTaken) < tokenWaitMax {
			return
		}
		s.tokenQueue = s.tokenQueue[1:]
		switch {
		case !waits:
		case s.takeToken(now):
			o.tokenTaken = now
			s.tokenQueue = append(s.tokenQueue, id)
		default:
			s.recordRefusedSecond(now, o.Attempt, secondBudgetSpent)
			s.forget(id)
			s.sched.Cancel(now, id)
			o.reply(Grant{Reason: outcome.ReasonNoTarget})
		}
	}
}

// recordSubmit records the time of an attempt, and logs the start of serving the
// service.
func (s *service) recordSubmit(now time.Time) {
	if s.lastSubmit.IsZero() || now.Sub(s.lastSubmit) >= serviceIdleTime {
		s.loop.cfg.Log.Info("serving a service", "service", s.name, "left", s.retries.Left(now))
	}
	s.lastSubmit = now
}

// recordRefusedSecond logs and counts a second attempt that is not granted.
func (s *service) recordRefusedSecond(now time.Time, a Attempt, cause string) {
	s.loop.stats.addSecond(s.name, cause)
	s.loop.cfg.Log.Info("second attempt refused", "cause", cause, "request", a.Request, "service", s.name,
		"left", s.retries.Left(now), "queued", s.sched.Queued())
}
