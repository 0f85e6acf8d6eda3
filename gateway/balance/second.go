package balance

import (
	"time"

	"filbertmill.example/outcome"
	"filbertmill.example/retry"
)

const (
	// quietTime is the time without a question after which a Loop begins anew to
	// serve a service.
	serviceIdleTime = 3 * time.Second
	// holdMax is how long a second attempt waits for a target on one token: the
	// rest of retry.DeliveryTime is for the way to it.
	tokenWaitMax = 500 * time.Millisecond
)

// second says whether an attempt brings its request to a further target.
func (a *Attempt) isSecond() bool { return a.Kind != FirstAttempt && a.Kind != Redirect }

// takeDeposit takes the tokens that a message brings along. Those of one that was
// long on its way, or waited here, are as old as it.
func (s *service) takeDeposit(now time.Time, d retry.Deposit, sentAt time.Duration) {
	age := now.Sub(s.loop.started) - sentAt
	if sentAt > 0 && age >= 0 {
		s.retries.Add(now, d, age)
	}
}

// mayRepeat takes the token of a second attempt. A hedge has none while work
// waits: it would take the place of a first attempt.
func (s *service) allowSecond(now time.Time, a Attempt) bool {
	if a.Kind == HedgedAttempt && s.sched.Queued() > 0 {
		s.recordRefusedSecond(now, a, secondWorkWaits)
		return false
	}
	if !s.takeToken(now) {
		s.recordRefusedSecond(now, a, secondBudgetSpent)
		return false
	}
	s.loop.stats.add(s.name, secondGranted)
	return true
}

// takeToken takes a token, unless the host was suspended: the tokens may have
// expired meanwhile, which the clock does not show.
func (s *service) takeToken(now time.Time) bool {
	if suspended := suspendedTime(); suspended > s.loop.suspended+minSuspension {
		s.loop.cfg.Log.Warn("the host was suspended; retry tokens are dropped", "suspended_ms", (suspended - s.loop.suspended).Milliseconds())
		s.loop.suspended = suspended
		for _, other := range s.loop.services {
			other.retries.Clear()
		}
	}
	return s.retries.Take(now)
}

// renewHeld has second attempts that still wait for a target go on with a new
// token, or gives them up: their first one may count in no later window.
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

// noteAsked logs when the Loop begins to serve the service.
func (s *service) recordSubmit(now time.Time) {
	if s.lastSubmit.IsZero() || now.Sub(s.lastSubmit) >= serviceIdleTime {
		s.loop.cfg.Log.Info("serving a service", "service", s.name, "left", s.retries.Left(now))
	}
	s.lastSubmit = now
}

// noteSecond logs and counts a second attempt that is not granted.
func (s *service) recordRefusedSecond(now time.Time, a Attempt, cause string) {
	s.loop.stats.add(s.name, cause)
	s.loop.cfg.Log.Info("second attempt refused", "cause", cause, "request", a.Request, "service", s.name,
		"left", s.retries.Left(now), "queued", s.sched.Queued())
}
