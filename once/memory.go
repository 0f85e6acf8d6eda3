package once

import (
	"cmp"
	"slices"
	"time"
)

// state is the state of a key.
type state uint8

const (
	// stateClaiming means that the witnesses have not all recorded the claim.
	stateClaiming state = iota
	// stateRunning means that this home dispatched the key.
	stateRunning
	// stateDone means that the request was run and its answer was complete.
	stateDone
	// stateUnknown means that the key may have been dispatched, with an unknown
	// outcome.
	stateUnknown
)

// entry is what a home knows about one key.
type entry struct {
	key     Key
	digest  Digest
	claim   Claim
	state   state
	answer  *Answer
	expires time.Time
	// owner is the request that is dispatched, or that will be once it is claimed.
	// followers are requests with the same key that wait for its result.
	owner     waiter
	followers []waiter
	// pendingAcks is the number of witnesses that have not yet recorded the claim.
	pendingAcks int
}

// sweepInterval is the time between two searches for expired keys.
const sweepInterval = 10 * time.Second

// lookup returns the entry of a key, or nil if the key is not known or has expired.
func (h *Home) lookup(now time.Time, k Key) *entry {
	e := h.entries[k]
	if e == nil || !e.expired(now) {
		return e
	}
	h.remove(e)
	return nil
}

// expired reports whether the key need not be kept any longer.
func (e *entry) expired(now time.Time) bool {
	return e.state >= stateDone && !now.Before(e.expires)
}

// remove removes an entry.
func (h *Home) remove(e *entry) {
	h.keptBytes -= e.answer.Size()
	delete(h.entries, e.key)
}

// markDone records that a key's request ended with a complete answer, and keeps the
// answer if there is room for it.
func (h *Home) markDone(now time.Time, e *entry, a *Answer) {
	e.state = stateDone
	e.expires = now.Add(h.cfg.Retention)
	h.keepAnswer(e, a)
}

// keepAnswer stores an answer in the entry if there is room for it.
func (h *Home) keepAnswer(e *entry, a *Answer) {
	size := a.Size()
	if size > h.cfg.MaxAnswerBytes || h.keptBytes+size > h.cfg.MaxAnswersBytes {
		return
	}
	h.keptBytes += size
	e.answer = a
}

// sweep removes all expired keys.
func (h *Home) sweep(now time.Time) {
	h.sweepAt = now.Add(sweepInterval)
	for _, e := range h.entries {
		if e.expired(now) {
			h.remove(e)
		}
	}
}

// full reports whether MaxKeys is reached after expired keys were removed.
func (h *Home) full(now time.Time) bool {
	if len(h.entries) < h.cfg.MaxKeys {
		return false
	}
	h.sweep(now)
	return len(h.entries) >= h.cfg.MaxKeys
}

// mergeCopy merges a witness's copy into the entries. What this home knows about the
// requests that it dispatched itself is kept, since it is newer than the copy.
func (h *Home) mergeCopy(now time.Time, c Copy) {
	for _, e := range h.entries {
		if e.state == stateClaiming {
			panic("once: open claim while a copy is merged")
		}
	}
	h.lostUntil = later(h.lostUntil, now.Add(c.LostLeft))
	for _, r := range c.Records {
		h.mergeRecord(now, r)
	}
}

// mergeRecord merges one record of a copy.
func (h *Home) mergeRecord(now time.Time, r Record) {
	old := h.entries[r.Key]
	if h.wasAbandoned(r, old) {
		return
	}
	if old != nil && (old.state == stateRunning || !r.Claim.after(old.claim) && !r.Done) {
		return
	}
	if old != nil {
		h.remove(old)
	}
	e := &entry{key: r.Key, digest: r.Digest, claim: r.Claim, state: stateUnknown, expires: now.Add(r.Left)}
	h.entries[r.Key] = e
	if r.Done {
		e.state = stateDone
		h.keepAnswer(e, r.Answer)
	}
}

// wasAbandoned reports whether the record is of a claim that this home itself made
// and abandoned. The home keeps an entry for each key that it dispatched, so a claim
// of its own without an entry was never dispatched.
func (h *Home) wasAbandoned(r Record, known *entry) bool {
	own := h.ownEpochs[r.Claim.Epoch]
	return own && !r.Done && (known == nil || known.claim != r.Claim)
}

// snapshot returns the copy for a new witness.
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

// limitAnswers drops the oldest answers until the others fit into the limit.
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

// record returns the entry as a Record for a witness.
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
