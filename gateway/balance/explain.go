package balance

import (
	"time"

	"filbertmill.example/pool"
)

// Explain returns what the Loop would do with an attempt now, and changes nothing.
func (l *Loop) Explain(a Attempt) pool.Explanation {
	return query(l, func(now time.Time) pool.Explanation {
		if !l.hasView() {
			return pool.Explanation{Why: "the node has no targets yet"}
		}
		if e, refuse := l.poison.Check(now, a.Fingerprint); refuse {
			return pool.Explanation{Why: "requests like it crash targets and are refused until " + e.Until.Format(time.TimeOnly)}
		}
		s := l.service(a.Service, now)
		return s.sched.Explain(now, s.request(now, 0, a))
	})
}
