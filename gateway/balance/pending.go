package balance

import (
	"slices"
	"time"

	"filbertmill.example/outcome"
)

// earlyWait is how long an attempt waits for the first view at most: a node that
// starts knows the configuration within it, or has to find the store first.
const firstViewTimeout = 400 * time.Millisecond

// early is an attempt that came before the first view. Without one no target is
// known, and a refusal would say that there is none.
type pendingAttempt struct {
	Attempt
	submitted time.Time
	reply     func(Grant)
}

// hasView says whether a view with a configuration is in force.
func (l *Loop) hasView() bool { return l.view.Config != nil }

// submitEarly submits the attempts that came before the first view.
func (l *Loop) submitPending(now time.Time) {
	waiting := l.pending
	l.pending = nil
	for _, e := range waiting {
		waited := now.Sub(e.submitted)
		e.TimeLeft, e.ObjectiveTimeLeft = e.TimeLeft-waited, e.ObjectiveTimeLeft-waited
		l.service(e.Service, now).submit(now, e.Attempt, e.reply)
	}
}

// cancelEarly withdraws an attempt that came before the first view.
func (l *Loop) cancelPending(id ID) {
	l.pending = slices.DeleteFunc(l.pending, func(e pendingAttempt) bool { return e.ID == id })
}

// expireEarly refuses attempts for which no view came in time.
func (l *Loop) expirePending(now time.Time) {
	l.pending = slices.DeleteFunc(l.pending, func(e pendingAttempt) bool {
		if now.Sub(e.submitted) < firstViewTimeout {
			return false
		}
		l.cfg.Log.Info("request refused: no configuration has come yet", "request", e.Request, "service", e.Service)
		e.reply(Grant{Reason: outcome.ReasonNoConfiguration, RetryAfter: time.Second})
		return true
	})
}
