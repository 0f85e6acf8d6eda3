package balance

import (
	"slices"
	"time"

	"filbertmill.example/outcome"
)

// firstViewTimeout is how long an attempt waits for the first view at most. A node
// that starts has a configuration by then, unless it has yet to reach the store.
const firstViewTimeout = 400 * time.Millisecond

// pendingAttempt is an attempt that was submitted before the first view. Without a
// view no target is known, and a refusal would claim that the service has none.
type pendingAttempt struct {
	Attempt
	submitted time.Time
	reply     func(Grant)
}

// hasView reports whether a view with a configuration is in force.
func (l *Loop) hasView() bool { return l.view.Config != nil }

// submitPending submits the pending attempts to the schedulers.
func (l *Loop) submitPending(now time.Time) {
	waiting := l.pending
	l.pending = nil
	for _, e := range waiting {
		waited := now.Sub(e.submitted)
		e.TimeLeft, e.SoftTimeLeft = e.TimeLeft-waited, e.SoftTimeLeft-waited
		l.service(e.Service, now).submit(now, e.Attempt, e.reply)
	}
}

// cancelPending cancels an attempt if it is pending.
func (l *Loop) cancelPending(id ID) {
	l.pending = slices.DeleteFunc(l.pending, func(e pendingAttempt) bool { return e.ID == id })
}

// expirePending refuses pending attempts that have waited for firstViewTimeout.
func (l *Loop) expirePending(now time.Time) {
	l.pending = slices.DeleteFunc(l.pending, func(e pendingAttempt) bool {
		if now.Sub(e.submitted) < firstViewTimeout {
			return false
		}
		l.cfg.Log.Info("request refused: no configuration is known yet", "request", e.Request, "service", e.Service)
		e.reply(Grant{Reason: outcome.ReasonNoConfiguration, RetryAfter: time.Second})
		return true
	})
}
