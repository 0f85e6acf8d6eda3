package once

import "time"

// witnessSlack is the maximum number of keys of a witness in tenths of MaxKeys. It
// is more than that of a home, since abandoned claims may stay until the next
// Install.
const witnessSlack = 12

// Witness holds the copy of one service's keys for its home.
type Witness struct {
	cfg       Config
	self      Member
	leaving   bool
	sealed    Epoch
	holder    Member
	installed Epoch
	lostUntil time.Time
	records   map[Key]*heldRecord
}

// heldRecord is a record with the time when it is removed.
type heldRecord struct {
	Record
	expires time.Time
}

// NewWitness returns a witness that holds nothing.
func NewWitness(cfg Config, self Member) *Witness {
	return &Witness{cfg: cfg, self: self, records: make(map[Key]*heldRecord)}
}

// SetLeaving sets whether the node is shutting down.
func (w *Witness) SetLeaving(leaving bool) {
	w.leaving = leaving
}

// Len returns the number of keys held.
func (w *Witness) Len() int {
	return len(w.records)
}

// Ended returns the number of keys whose requests ended with a complete answer.
func (w *Witness) Ended() int {
	n := 0
	for _, h := range w.records {
		if h.Done {
			n++
		}
	}
	return n
}

// Receive handles a message for the given member and returns the answer. An
// Enlist may be for any incarnation.
func (w *Witness) Receive(now time.Time, to Member, m Message) Ack {
	if _, isEnlist := m.(Enlist); !isEnlist && to != w.self {
		return w.ack(StatusRestarted)
	}
	switch m := m.(type) {
	case Enlist:
		return w.ack(StatusAccepted)
	case Seal:
		return w.seal(now, m)
	case Install:
		return w.install(now, m)
	case Intent:
		return w.intent(now, m)
	case Done:
		return w.done(now, m)
	case Release:
		return w.release(m)
	}
	panic("once: unknown type of message")
}

// ack returns an answer with the witness's current state.
func (w *Witness) ack(s Status) Ack {
	return Ack{Status: s, Member: w.self, Epoch: w.sealed, Holder: w.holder, Installed: w.installed, Leaving: w.leaving}
}

// acceptEpoch records the epoch and holder of a tenure. It reports false if the
// tenure is not the latest that the witness has seen.
func (w *Witness) acceptEpoch(e Epoch, holder Member) bool {
	if e < w.sealed || (e == w.sealed && holder != w.holder) {
		return false
	}
	w.sealed = e
	w.holder = holder
	return true
}

func (w *Witness) seal(now time.Time, m Seal) Ack {
	if !w.acceptEpoch(m.Epoch, m.Holder) {
		return w.ack(StatusSealed)
	}
	a := w.ack(StatusAccepted)
	a.Copy = w.copy(now)
	return a
}

func (w *Witness) install(now time.Time, m Install) Ack {
	if m.Epoch <= w.installed || !w.acceptEpoch(m.Epoch, m.Holder) {
		return w.ack(StatusSealed)
	}
	w.installed = m.Epoch
	w.lostUntil = now.Add(m.Copy.LostLeft)
	w.records = make(map[Key]*heldRecord, len(m.Copy.Records))
	for _, r := range m.Copy.Records {
		w.records[r.Key] = &heldRecord{Record: r, expires: now.Add(r.Left + witnessGrace)}
	}
	return w.ack(StatusAccepted)
}

// intent records a claim. A later claim replaces an earlier one for the same key:
// within one tenure, the home knows all that its witnesses know.
func (w *Witness) intent(now time.Time, m Intent) Ack {
	if m.Claim.Epoch != w.sealed || m.Claim.Epoch != w.installed {
		return w.ack(StatusSealed)
	}
	old := w.records[m.Key]
	switch {
	case old != nil && !m.Claim.after(old.Claim):
		return w.ack(StatusAccepted)
	case old == nil && w.full(now):
		return w.ack(StatusFull)
	}
	w.records[m.Key] = &heldRecord{
		Record:  Record{Key: m.Key, Digest: m.Digest, Claim: m.Claim},
		expires: now.Add(w.cfg.Retention + witnessGrace),
	}
	return w.ack(StatusAccepted)
}

// full reports whether the maximum number of keys is reached after expired keys were
// removed.
func (w *Witness) full(now time.Time) bool {
	limit := w.cfg.MaxKeys * witnessSlack / 10
	if len(w.records) < limit {
		return false
	}
	w.expire(now)
	return len(w.records) >= limit
}

// done records the end of a claimed request. It is accepted from the home of any
// tenure, since the outcome of a claim does not change.
func (w *Witness) done(now time.Time, m Done) Ack {
	r := w.records[m.Key]
	if r == nil || r.Claim != m.Claim {
		return w.ack(StatusSealed)
	}
	r.Done = true
	r.Answer = m.Answer
	r.expires = now.Add(w.cfg.Retention + witnessGrace)
	return w.ack(StatusAccepted)
}

func (w *Witness) release(m Release) Ack {
	r := w.records[m.Key]
	if r == nil || r.Claim != m.Claim || r.Done {
		return w.ack(StatusSealed)
	}
	delete(w.records, m.Key)
	return w.ack(StatusAccepted)
}

// copy returns all records of the witness.
func (w *Witness) copy(now time.Time) *Copy {
	w.expire(now)
	c := &Copy{
		Records:  make([]Record, 0, len(w.records)),
		LostLeft: max(w.lostUntil.Sub(now), 0),
	}
	for _, h := range w.records {
		r := h.Record
		r.Left = h.expires.Sub(now)
		c.Records = append(c.Records, r)
	}
	return c
}

// expire removes the expired keys.
func (w *Witness) expire(now time.Time) {
	for k, h := range w.records {
		if !now.Before(h.expires) {
			delete(w.records, k)
		}
	}
}
