package poison

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the settings of a Tracker.
type Config struct {
	// Targets is the number of distinct targets that must crash under a
	// fingerprint before it goes into quarantine; at least 2.
	Targets int
	// Memory is how long a crash counts against a fingerprint.
	Memory time.Duration
	// Quarantine is how long a fingerprint is refused. A longer time prevents
	// more crashes, but also refuses requests for longer after their cause was
	// fixed.
	Quarantine time.Duration
	// Capacity is the largest number of fingerprints kept, suspects and those in
	// quarantine together.
	Capacity int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Targets:    2,
		Memory:     15 * time.Minute,
		Quarantine: 15 * time.Minute,
		Capacity:   4096,
	}
}

// sameCrash is the time within which the ends of several requests on one target
// count as the same crash.
const sameCrash = time.Second

// Crash is the crash of a target while it ran a request.
type Crash struct {
	// Target is the target's name.
	Target string `json:"target" cbor:"1,keyasint"`
	// Started is when the request was sent to the target. Failures charged to the
	// target since then are attributed to the request.
	Started time.Time `json:"started" cbor:"2,keyasint"`
	// Ended is when the connection was lost.
	Ended time.Time `json:"ended" cbor:"3,keyasint"`
}

// Entry is a fingerprint in quarantine.
type Entry struct {
	// Fingerprint identifies the requests that are refused.
	Fingerprint Fingerprint `json:"fingerprint" cbor:"1,keyasint"`
	// Service and Route are those of the request that crashed the last target.
	Service string `json:"service" cbor:"2,keyasint"`
	Route   string `json:"route" cbor:"3,keyasint"`
	// Request is the id of the request that crashed the last target.
	Request string `json:"request" cbor:"4,keyasint"`
	// Crashes lists the crashed targets, which are to be absolved.
	Crashes []Crash `json:"crashes" cbor:"5,keyasint"`
	// Until is when the quarantine ends.
	Until time.Time `json:"until" cbor:"6,keyasint"`
	// Refused is the number of requests refused so far.
	Refused int `json:"refused" cbor:"7,keyasint"`
}

// Report describes a crash for Tracker.RecordCrash.
type Report struct {
	// Fingerprint is that of the request that the target was running.
	Fingerprint Fingerprint
	// Service, Route and Request identify that request.
	Service, Route, Request string
	// Crash is the target and the time.
	Crash Crash
}

// suspect holds the crashes under a fingerprint that is not in quarantine, since
// fewer than Config.Targets targets crashed.
type suspect struct {
	crashes []Crash
}

// Tracker counts crashes by fingerprint. It is not safe for concurrent use:
// its owner calls it from one goroutine and passes the time in.
type Tracker struct {
	cfg      Config
	suspects map[Fingerprint]*suspect
	entries  map[Fingerprint]*Entry
	// cleared holds, for fingerprints that were suspects, when an answer has cleared them.
	cleared map[Fingerprint]time.Time
}

// NewTracker returns a Tracker that knows no fingerprint.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{
		cfg:      cfg,
		suspects: make(map[Fingerprint]*suspect),
		entries:  make(map[Fingerprint]*Entry),
		cleared:  make(map[Fingerprint]time.Time),
	}
}

// Check reports whether requests with the fingerprint are to be refused now,
// and counts the refusal.
func (t *Tracker) Check(now time.Time, f Fingerprint) (entry Entry, refuse bool) {
	e, ok := t.entries[f]
	if !ok || !now.Before(e.Until) {
		return Entry{}, false
	}
	e.Refused++
	return e.copy(), true
}

// RecordCrash counts a crash. If the crash puts the fingerprint into quarantine,
// RecordCrash returns the entry, and the owner then absolves the entry's targets.
func (t *Tracker) RecordCrash(r Report) (entry Entry, quarantined bool) {
	now := r.Crash.Ended
	t.expire(now)
	if t.entries[r.Fingerprint] != nil || t.explained(r.Crash) {
		return Entry{}, false
	}
	s := t.suspect(r.Fingerprint)
	s.add(r.Crash)
	if len(s.crashes) < t.cfg.Targets {
		return Entry{}, false
	}
	delete(t.suspects, r.Fingerprint)
	e := &Entry{
		Fingerprint: r.Fingerprint,
		Service:     r.Service,
		Route:       r.Route,
		Request:     r.Request,
		Crashes:     s.crashes,
		Until:       now.Add(t.cfg.Quarantine),
	}
	t.entries[r.Fingerprint] = e
	return e.copy(), true
}

// RecordSuccess records that a target ran a request with the fingerprint and gave
// a complete answer. Earlier crashes under the fingerprint had another cause, so
// they no longer count.
func (t *Tracker) RecordSuccess(now time.Time, f Fingerprint) {
	if t.suspects[f] != nil {
		t.clear(f, now)
	}
}

// Import adds an entry that another node put into quarantine. It reports whether
// the entry was new. The entry ends no later than one that starts now, even if
// the other node's clock is ahead.
func (t *Tracker) Import(now time.Time, e Entry) bool {
	t.expire(now)
	if !now.Before(e.Until) || t.entries[e.Fingerprint] != nil {
		return false
	}
	e.Until = earlier(e.Until, now.Add(t.cfg.Quarantine))
	t.makeRoom()
	delete(t.suspects, e.Fingerprint)
	t.entries[e.Fingerprint] = &e
	return true
}

// Release ends a quarantine and drops its crashes. It reports whether the
// fingerprint was in quarantine.
func (t *Tracker) Release(now time.Time, f Fingerprint) bool {
	t.expire(now)
	_, ok := t.entries[f]
	delete(t.entries, f)
	return ok
}

// List returns the fingerprints in quarantine, ordered by the end of the
// quarantine.
func (t *Tracker) List(now time.Time) []Entry {
	t.expire(now)
	list := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e.copy())
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(a.Until.Compare(b.Until), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list
}

// Len returns the number of fingerprints kept, suspects and those in quarantine.
func (t *Tracker) Len() int {
	return len(t.suspects) + len(t.entries)
}

// explained reports whether a fingerprint in quarantine already accounts for the
// crash. Another request that was in flight on that target then did not cause it.
func (t *Tracker) explained(c Crash) bool {
	for _, e := range t.entries {
		for _, known := range e.Crashes {
			if known.Target == c.Target && c.Ended.Sub(known.Ended).Abs() < sameCrash {
				return true
			}
		}
	}
	return false
}

// suspect returns the suspect of a fingerprint. It is created if needed.
func (t *Tracker) suspect(f Fingerprint) *suspect {
	s := t.suspects[f]
	if s == nil {
		t.makeRoom()
		s = &suspect{}
		t.suspects[f] = s
	}
	return s
}

// add records a crash. A target counts once, with the time of its latest crash.
func (s *suspect) add(c Crash) {
	for i := range s.crashes {
		if s.crashes[i].Target == c.Target {
			s.crashes[i].Ended = c.Ended
			return
		}
	}
	s.crashes = append(s.crashes, c)
}

// last returns the time of the suspect's latest crash.
func (s *suspect) last() time.Time {
	var last time.Time
	for _, c := range s.crashes {
		if c.Ended.After(last) {
			last = c.Ended
		}
	}
	return last
}

// expire removes the entries whose quarantine is over, and crashes that are older
// than Config.Memory.
func (t *Tracker) expire(now time.Time) {
	for f, e := range t.entries {
		if !now.Before(e.Until) {
			delete(t.entries, f)
		}
	}
	for f, s := range t.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool {
			return now.Sub(c.Ended) >= t.cfg.Memory
		})
		if len(s.crashes) == 0 {
			delete(t.suspects, f)
		}
	}
	for f, at := range t.cleared {
		if now.Sub(at) >= suspectLife {
			delete(t.cleared, f)
		}
	}
}

// makeRoom drops one fingerprint if Config.Capacity is reached: the suspect whose
// latest crash is the oldest, or, if there is no suspect, the entry that ends first.
func (t *Tracker) makeRoom() {
	if t.Len() < t.cfg.Capacity {
		return
	}
	if len(t.suspects) > 0 {
		deleteOldest(t.suspects, (*suspect).last)
		return
	}
	deleteOldest(t.entries, func(e *Entry) time.Time { return e.Until })
}

// deleteOldest deletes the element with the earliest time; among equal times, the
// one with the lowest fingerprint.
func deleteOldest[E any](m map[Fingerprint]E, at func(E) time.Time) {
	var oldest Fingerprint
	first := true
	for f, e := range m {
		order := 0
		if !first {
			order = cmp.Or(at(e).Compare(at(m[oldest])), cmp.Compare(f, oldest))
		}
		if first || order < 0 {
			oldest, first = f, false
		}
	}
	delete(m, oldest)
}

// copy returns a deep copy of the entry.
func (e *Entry) copy() Entry {
	c := *e
	c.Crashes = slices.Clone(e.Crashes)
	return c
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
