package poison

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the settings of a Tracker.
type Config struct {
	// Targets is the number of distinct targets that must crash under a
	// fingerprint before it is quarantined; at least 2.
	Targets int
	// Memory is how long a crash counts against a fingerprint.
	Memory time.Duration
	// Quarantine is how long a fingerprint is refused. A longer time saves
	// more crashes, and refuses a request longer whose cause was mended.
	Quarantine time.Duration
	// Capacity is the most fingerprints remembered, suspects and quarantined.
	Capacity int
}

// DefaultConfig returns the settings used unless the operators say otherwise.
func DefaultConfig() Config {
	return Config{
		Targets:    2,
		Memory:     15 * time.Minute,
		Quarantine: 15 * time.Minute,
		Capacity:   4096,
	}
}

// sameCrash is the time within which the ends of several requests on one
// target are put down to one crash.
const sameCrash = time.Second

// Crash is a target that went down while it ran a fingerprint.
type Crash struct {
	// Target is the target's name.
	Target string `json:"target" cbor:"1,keyasint"`
	// Started is when the request was sent to the target: failures charged to
	// the target since then are the request's.
	Started time.Time `json:"started" cbor:"2,keyasint"`
	// Ended is when the connection was lost.
	Ended time.Time `json:"ended" cbor:"3,keyasint"`
}

// Entry is a fingerprint in quarantine.
type Entry struct {
	// Fingerprint identifies the requests refused.
	Fingerprint Fingerprint `json:"fingerprint" cbor:"1,keyasint"`
	// Service and Route say where the request belongs.
	Service string `json:"service" cbor:"2,keyasint"`
	Route   string `json:"route" cbor:"3,keyasint"`
	// Request is the id of the request that crashed the last target.
	Request string `json:"request" cbor:"4,keyasint"`
	// Crashes lists the targets concerned; their failures are to be absolved.
	Crashes []Crash `json:"crashes" cbor:"5,keyasint"`
	// Until is when the quarantine ends.
	Until time.Time `json:"until" cbor:"6,keyasint"`
	// Refused is the number of requests refused so far.
	Refused int `json:"refused" cbor:"7,keyasint"`
}

// Report tells a Tracker of a crash.
type Report struct {
	// Fingerprint is that of the request that the target was running.
	Fingerprint Fingerprint
	// Service, Route and Request say which request it was.
	Service, Route, Request string
	// Crash is the target and the time.
	Crash Crash
}

// suspect is a fingerprint under which fewer targets crashed than needed.
type suspect struct {
	crashes []Crash
}

// Tracker counts crashes by fingerprint. It is not safe for concurrent use:
// its owner calls it from one goroutine and passes the time in.
type Tracker struct {
	cfg      Config
	suspects map[Fingerprint]*suspect
	entries  map[Fingerprint]*Entry
}

// NewTracker returns a Tracker that knows no fingerprint.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{
		cfg:      cfg,
		suspects: make(map[Fingerprint]*suspect),
		entries:  make(map[Fingerprint]*Entry),
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

// RecordCrash counts a crash. It returns the entry if the fingerprint goes into
// quarantine by it: the owner then absolves the entry's targets.
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

// RecordSuccess tells that a target ran the fingerprint to a whole answer: what was
// held against it so far had another cause.
func (t *Tracker) RecordSuccess(f Fingerprint) {
	delete(t.suspects, f)
}

// Import takes over an entry that another node put in quarantine. It reports
// whether the entry was new.
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

// Release ends a quarantine and forgets the crashes. It reports whether the
// fingerprint was in quarantine.
func (t *Tracker) Release(now time.Time, f Fingerprint) bool {
	t.expire(now)
	_, ok := t.entries[f]
	delete(t.entries, f)
	return ok
}

// List returns the fingerprints in quarantine, those that end first first.
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

// Len returns the number of fingerprints remembered.
func (t *Tracker) Len() int {
	return len(t.suspects) + len(t.entries)
}

// explained reports whether the crash is that of a fingerprint already in
// quarantine, so that another request on the same target was only a bystander.
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

// suspect returns the suspect of a fingerprint, made if need be.
func (t *Tracker) suspect(f Fingerprint) *suspect {
	s := t.suspects[f]
	if s == nil {
		t.makeRoom()
		s = &suspect{}
		t.suspects[f] = s
	}
	return s
}

// add counts a crash; a target counts once, by its latest crash.
func (s *suspect) add(c Crash) {
	for i := range s.crashes {
		if s.crashes[i].Target == c.Target {
			s.crashes[i].Ended = c.Ended
			return
		}
	}
	s.crashes = append(s.crashes, c)
}

// last is when the suspect's latest crash was.
func (s *suspect) last() time.Time {
	var last time.Time
	for _, c := range s.crashes {
		if c.Ended.After(last) {
			last = c.Ended
		}
	}
	return last
}

// expire forgets what is over.
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
}

// makeRoom drops the oldest fingerprint while all places are taken; suspects
// go before entries.
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

// deleteOldest deletes the element with the earliest time; the lowest
// fingerprint among equals.
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

// copy returns an entry that shares nothing with the original.
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
