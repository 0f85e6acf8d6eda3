package once

import (
	"cmp"
	"slices"
	"time"
)

// state is how far a key is.
type state uint8

const (
	// stateClaiming means that the witnesses have not all recorded the claim.
	stateClaiming state = iota
	// stateRunning means that this home dispatched the key.
	stateRunning
	// stateDone means that the request was run to a whole answer.
	stateDone
	// stateUnknown means that the key may have been dispatched, and nobody
	// knows to what end.
	stateUnknown
)

// entry is what a home knows of one key.
type entry struct {
	key     Key
	digest  Digest
	claim   Claim
	state   state
	answer  *Answer
	expires time.Time
	// owner is the request that is or was dispatched, and followers wait for
	// its end.
	owner     waiter
	followers []waiter
	// missing is the number of witnesses that have not recorded the claim.
	missing int
}

// sweepInterval is the time between two searches for expired keys.
const sweepInterval = 10 * time.Second

// lookup returns the entry of a key, or nil if it is not known or expired.
func (h *Home) lookup(now time.Time, k Key) *entry {
	e := h.entries[k]
	if e == nil || !e.expired(now) {
		return e
	}
	h.forget(e)
	return nil
}

// expired reports whether the time to remember the key is over.
func (e *entry) expired(now time.Time) bool {
	return e.state >= stateDone && !now.Before(e.expires)
}

// forget removes an entry.
func (h *Home) forget(e *entry) {
	h.kept -= e.answer.Size()
	delete(h.entries, e.key)
}

// keep notes that a key ended with a whole answer, and keeps the answer if
// there is room for it.
func (h *Home) keep(now time.Time, e *entry, a *Answer) {
	e.state = stateDone
	e.expires = now.Add(h.cfg.Retention)
	h.retain(e, a)
}

// retain sets the answer of an entry if there is room for it.
func (h *Home) retain(e *entry, a *Answer) {
	size := a.Size()
	if size > h.cfg.MaxAnswerBytes || h.kept+size > h.cfg.MaxAnswersBytes {
		return
	}
	h.kept += size
	e.answer = a
}

// sweep forgets all expired keys.
func (h *Home) sweep(now time.Time) {
	h.sweepAt = now.Add(sweepInterval)
	for _, e := range h.entries {
		if e.expired(now) {
			h.forget(e)
		}
	}
}

// full reports whether there is no place for another key.
func (h *Home) full(now time.Time) bool {
	if len(h.entries) < h.cfg.MaxKeys {
		return false
	}
	h.sweep(now)
	return len(h.entries) >= h.cfg.MaxKeys
}

// adopt takes over a witness's copy. What this home knows of its own
// dispatches is kept: it is newer than the copy.
func (h *Home) adopt(now time.Time, c Copy) {
	for _, e := range h.entries {
		if e.state == stateClaiming {
			panic("once: a claim is open while the memory is replaced")
		}
	}
	h.lostUntil = later(h.lostUntil, now.Add(c.LostLeft))
	for _, r := range c.Records {
		h.adoptRecord(now, r)
	}
}

// adoptRecord takes over one record of a copy.
func (h *Home) adoptRecord(now time.Time, r Record) {
	old := h.entries[r.Key]
	if h.gaveUp(r, old) {
		return
	}
	if old != nil && (old.state == stateRunning || !r.Claim.after(old.claim) && !r.Done) {
		return
	}
	if old != nil {
		h.forget(old)
	}
	e := &entry{key: r.Key, digest: r.Digest, claim: r.Claim, state: stateUnknown, expires: now.Add(r.Left)}
	h.entries[r.Key] = e
	if r.Done {
		e.state = stateDone
		h.retain(e, r.Answer)
	}
}

// gaveUp reports whether the record is of a claim that this home itself made
// and never dispatched: it remembers all that it dispatched.
func (h *Home) gaveUp(r Record, known *entry) bool {
	own := h.held[r.Claim.Epoch]
	return own && !r.Done && (known == nil || known.claim != r.Claim)
}

// snapshot returns what a new witness must know.
func (h *Home) snapshot(now time.Time) Copy {
	h.sweep(now)
	c := Copy{
		Records:  make([]Record, 0, len(h.entries)),
		LostLeft: max(h.lostUntil.Sub(now), 0),
	}
	for _, e := range h.entries {
		if e.state == stateClaiming {
			continue
		}
		c.Records = append(c.Records, e.record(now, h.cfg.Retention))
	}
	limitAnswers(c.Records, h.cfg.MaxCopyAnswersBytes)
	return c
}

// limitAnswers drops the answers that exceed the limit, the oldest first.
func limitAnswers(records []Record, limit int) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Key, b.Key))
	})
	size := 0
	for i := range records {
		size += records[i].Answer.Size()
		if size > limit {
			records[i].Answer = nil
		}
	}
}

// record returns what a witness must know of the entry.
func (e *entry) record(now time.Time, retention time.Duration) Record {
	r := Record{Key: e.key, Digest: e.digest, Claim: e.claim, Done: e.state == stateDone, Answer: e.answer}
	r.Left = e.expires.Sub(now)
	if e.state == stateRunning {
		r.Left = retention
	}
	return r
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
