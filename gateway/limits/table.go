// Package limits keeps what the targets of a service state about the requests that they
// accept from the whole fleet: at which rate, or none as they leave. Each node and each
// home has a Table; nodes and homes exchange what they know with the messages that they
// send anyway.
package limits

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertmill.example/retry"
)

const (
	// endedTime is how long a Table remembers that a target no longer limits its rate,
	// so that nodes that heard of the limit later don't bring it back.
	endedTime = time.Minute
	// goneTime is how long a Table remembers the limit of a target that is no longer
	// listed. An entry may be missing from the list for a while.
	goneTime = time.Minute
	// MaxEntries limits the entries of one message.
	MaxEntries = 1024
)

// Statement is what an answer of a target states.
type Statement struct {
	// Limited is set if the answer states a limit, and Rate is the limit.
	Limited bool       `cbor:"1,keyasint,omitempty"`
	Rate    retry.Rate `cbor:"2,keyasint,omitempty"`
	// Leaving is set if the target accepts no new requests. A process of a target that
	// leaves does not come back.
	Leaving bool `cbor:"5,keyasint,omitempty"`
}

// Entry is what a Table holds about one target, as sent to another node.
type Entry struct {
	Target string `cbor:"4,keyasint"`
	Statement
	// Age is how long ago the target was last heard to state this.
	Age time.Duration `cbor:"3,keyasint"`
}

// Change is a change in a Table.
type Change struct {
	Target string
	Before Statement
	After  Statement
}

// Fields returns the fields of a log line about the change.
func (c Change) Fields() []any {
	return []any{"target", c.Target, "limited", c.After.Limited, "per_second", float64(c.After.Rate), "was_limited", c.Before.Limited, "before_per_second", float64(c.Before.Rate), "leaving", c.After.Leaving}
}

// Table holds the statements of the targets of one service. It is not safe for concurrent
// use.
type Table struct {
	entries map[string]entry
	digest  uint64
}

type entry struct {
	Statement
	// heard is when the target was last heard to state this.
	heard time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{entries: make(map[string]entry)} }

// Hear records what an answer of a target states to a request that was sent at a time.
// It reports whether the limit has changed.
//
// Answers to requests that ran concurrently have no known order. A request that was
// sent after a statement was heard is answered by a newer one; a statement of unknown
// order can only impose or lower a limit.
func (t *Table) Hear(now time.Time, target string, sent time.Time, s Statement) (Change, bool) {
	known, ok := t.entries[target]
	newer := !ok || sent.After(known.heard)
	s.Leaving = s.Leaving || known.Leaving
	switch {
	case !s.valid():
		return Change{}, false
	case !s.Limited && !known.Limited && s.Leaving == known.Leaving:
		return Change{}, false
	case !s.Limited && known.Limited && !newer:
		// The limit may have been stated later.
		s.Limited, s.Rate = true, known.Rate
		return t.set(target, entry{s, known.heard})
	case s.Limited && known.Limited && !newer:
		s.Rate = min(s.Rate, known.Rate)
	}
	return t.set(target, entry{s, now})
}

// Merge records what another node knows, and returns the changes. delay is how long its
// message was under way at most. Of two times at which a limit may have been heard the
// later one counts, and of those at which it may have ended the earlier one.
func (t *Table) Merge(now time.Time, list []Entry, delay time.Duration) []Change {
	var changes []Change
	for _, e := range list[:min(len(list), MaxEntries)] {
		if !e.valid() {
			continue
		}
		heard := now.Add(-e.Age)
		if !e.Limited {
			heard = heard.Add(-delay)
		}
		known, ok := t.entries[e.Target]
		e.Leaving = e.Leaving || known.Leaving
		switch {
		case !ok && e.Statement == Statement{}:
			continue
		case ok && !heard.After(known.heard):
			if e.Leaving == known.Leaving {
				continue
			}
			e.Limited, e.Rate, heard = known.Limited, known.Rate, known.heard
		}
		if c, changed := t.set(e.Target, entry{e.Statement, heard}); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// valid reports whether another node may have sent s: its rate is a number.
func (s Statement) valid() bool {
	return s.Rate >= 0 && !math.IsInf(float64(s.Rate), 0)
}

func (e Entry) valid() bool {
	return e.Target != "" && e.Age >= 0 && e.Age < time.Hour && e.Statement.valid()
}

// set stores an entry and updates the digest.
func (t *Table) set(target string, e entry) (Change, bool) {
	before := t.entries[target].Statement
	t.digest ^= digest(target, before) ^ digest(target, e.Statement)
	t.entries[target] = e
	return Change{target, before, e.Statement}, before != e.Statement
}

// digest returns the part of one target in the digest of a Table.
func digest(target string, s Statement) uint64 {
	if s == (Statement{}) {
		return 0
	}
	text := binary.LittleEndian.AppendUint64([]byte(target), math.Float64bits(float64(s.Rate)))
	return xxhash.Sum64(append(text, flag(s.Limited), flag(s.Leaving)))
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// Digest identifies the statements in force. It is 0 if there are none.
func (t *Table) Digest() uint64 { return t.digest }

// Get returns what is known of a target, and when that was last heard.
func (t *Table) Get(target string) (Statement, time.Time) {
	e := t.entries[target]
	return e.Statement, e.heard
}

// Limits returns the limits in force, by target.
func (t *Table) Limits() map[string]retry.Rate {
	limits := make(map[string]retry.Rate)
	for name, e := range t.entries {
		if e.Limited {
			limits[name] = e.Rate
		}
	}
	return limits
}

// List returns the entries to send to another node, the latest first.
func (t *Table) List(now time.Time) []Entry {
	list := make([]Entry, 0, len(t.entries))
	for name, e := range t.entries {
		list = append(list, Entry{name, e.Statement, max(now.Sub(e.heard), 0)})
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Target, b.Target)) })
	return list[:min(len(list), MaxEntries)]
}

// Prune forgets statements that ended long ago, and those of targets that have long not
// been listed.
func (t *Table) Prune(now time.Time, listed func(target string) bool) {
	for name, e := range t.entries {
		age := now.Sub(e.heard)
		if (e.Statement == Statement{} && age > endedTime) || (age > goneTime && !listed(name)) {
			t.digest ^= digest(name, e.Statement)
			delete(t.entries, name)
		}
	}
}
