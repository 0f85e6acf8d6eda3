package balance

import (
	"slices"
	"time"

	"filbertmill.example/outcome"
)

// earlyWait is how long an attempt waits for the first view at most: a node that
// starts knows the configuration within it, or has to find the store first.
const earlyWait = 400 * time.Millisecond

// early is an attempt that came before the first view. Without one no target is
// known, and a refusal would say that there is none.
type early struct {
	Attempt
	came  time.Time
	reply func(Grant)
}

// hasView says whether a view with a configuration is in force.
func (l *Loop) hasView() bool { return l.view.Config != nil }

// submitEarly submits the attempts that came before the first view.
func (l *Loop) submitEarly(now time.Time) {
	waiting := l.early
	l.early = nil
	for _, e := range waiting {
		waited := now.Sub(e.came)
		e.TimeLeft, e.DueLeft = e.TimeLeft-waited, e.DueLeft-waited
		l.service(e.Service, now).submit(now, e.Attempt, e.reply)
	}
}

// cancelEarly withdraws an attempt that came before the first view.
func (l *Loop) cancelEarly(id ID) {
	l.early = slices.DeleteFunc(l.early, func(e early) bool { return e.ID == id })
}

// expireEarly refuses attempts for which no view came in time.
func (l *Loop) expireEarly(now time.Time) {
	l.early = slices.DeleteFunc(l.early, func(e early) bool {
		if now.Sub(e.came) < earlyWait {
			return false
		}
		l.cfg.Log.Info("request refused: no configuration has come yet", "request", e.Request, "service", e.Service)
		e.reply(Grant{Reason: outcome.ReasonNoConfiguration, RetryAfter: time.Second})
		return true
	})
}
