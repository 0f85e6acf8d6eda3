package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxHandovers limits the entries that one node tells another, those that end last.
	MaxHandovers = 256
	// minHandoverLeft is the least rest of a quarantine that is told or taken over. The rest
	// grows by the time under way; without a limit, nodes could tell one another of an entry
	// that has ended again and again.
	minHandoverLeft = time.Second
	// suspectLife is the age up to which crashes that have not led to a quarantine yet are
	// told, and for how long it is remembered that a request has been cleared of them. A
	// poison request is repeated within seconds.
	suspectLife = time.Minute
)

// Handover is an entry as one node tells it another.
type Handover struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Left is the rest of the quarantine; 0 for a suspect.
	Left time.Duration `cbor:"2,keyasint,omitempty"`
	// Crashes are those under the fingerprint of a suspect. If there are none, an answer
	// has cleared it ClearedAgo.
	Crashes    []HandoverCrash `cbor:"3,keyasint,omitempty"`
	ClearedAgo time.Duration   `cbor:"4,keyasint,omitempty"`
}

// HandoverCrash is a crash as one node tells it another.
type HandoverCrash struct {
	Target string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
}

// Handovers returns the entries that another node is to know.
func (t *Tracker) Handovers(now time.Time) []Handover {
	if len(t.entries) == 0 {
		return nil
	}
	entries := t.List(now)
	entries = entries[max(len(entries)-MaxHandovers, 0):]
	list := make([]Handover, 0, len(entries))
	for _, e := range entries {
		if left := e.Until.Sub(now); left >= minHandoverLeft {
			list = append(list, Handover{Fingerprint: e.Fingerprint, Left: left})
		}
	}
	return list
}

// TakeOver adds what another node knows. It returns the fingerprints that are new.
func (t *Tracker) TakeOver(now time.Time, list []Handover) []Fingerprint {
	var added []Fingerprint
	for _, h := range list[:min(len(list), MaxHandovers)] {
		if h.Left >= minHandoverLeft && t.Import(now, Entry{Fingerprint: h.Fingerprint, Until: now.Add(min(h.Left, t.cfg.Quarantine))}) {
			added = append(added, h.Fingerprint)
		}
	}
	return added
}

// Suspects returns the crashes of fingerprints that are not in quarantine, and the
// fingerprints that were cleared, for another node.
func (t *Tracker) Suspects(now time.Time) []Handover {
	var list []Handover
	for f, s := range t.suspects {
		h := Handover{Fingerprint: f}
		for _, c := range s.crashes {
			if age := now.Sub(c.Ended); age < suspectLife {
				h.Crashes = append(h.Crashes, HandoverCrash{c.Target, max(age, 0)})
			}
		}
		if len(h.Crashes) > 0 {
			list = append(list, h)
		}
	}
	for f, at := range t.cleared {
		if ago := now.Sub(at); ago < suspectLife {
			list = append(list, Handover{Fingerprint: f, ClearedAgo: max(ago, 0)})
		}
	}
	slices.SortFunc(list, func(a, b Handover) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list[:min(len(list), MaxHandovers)]
}

// TakeOverSuspects adds the crashes that another node knows, unless an answer has cleared
// their fingerprints since. It returns the fingerprints that they put into quarantine.
func (t *Tracker) TakeOverSuspects(now time.Time, list []Handover) []Fingerprint {
	t.expire(now)
	var added []Fingerprint
	for _, h := range list[:min(len(list), MaxHandovers)] {
		if len(h.Crashes) == 0 {
			if h.Left == 0 && h.ClearedAgo >= 0 && h.ClearedAgo < suspectLife {
				t.clear(h.Fingerprint, now.Add(-h.ClearedAgo))
			}
			continue
		}
		for _, c := range h.Crashes[:min(len(h.Crashes), t.cfg.Targets)] {
			ended := now.Add(-c.Age)
			if c.Age < 0 || c.Age >= suspectLife || t.entries[h.Fingerprint] != nil || !ended.After(t.cleared[h.Fingerprint]) {
				continue
			}
			_, quarantined := t.RecordCrash(Report{Fingerprint: h.Fingerprint, Crash: Crash{Target: c.Target, Started: ended, Ended: ended}})
			if quarantined {
				added = append(added, h.Fingerprint)
			}
		}
	}
	return added
}

// IsSuspect reports whether targets have crashed under a fingerprint.
func (t *Tracker) IsSuspect(f Fingerprint) bool { return t.suspects[f] != nil }

// clear drops the crashes under a fingerprint up to the given time.
func (t *Tracker) clear(f Fingerprint, at time.Time) {
	s := t.suspects[f]
	if s == nil && !t.cleared[f].Before(at) {
		return
	}
	if len(t.cleared) >= t.cfg.Capacity {
		deleteOldest(t.cleared, func(at time.Time) time.Time { return at })
	}
	if t.cleared[f].Before(at) {
		t.cleared[f] = at
	}
	if s == nil {
		return
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return !c.Ended.After(at) })
	if len(s.crashes) == 0 {
		delete(t.suspects, f)
	}
}

// Digest identifies the fingerprints of a list, whatever their order. It is 0 for none.
func Digest(list []Handover) uint64 {
	fingerprints := make([]Fingerprint, len(list))
	for i, h := range list {
		fingerprints[i] = h.Fingerprint
	}
	slices.Sort(fingerprints)
	var text []byte
	for _, f := range fingerprints {
		text = binary.LittleEndian.AppendUint64(text, uint64(f))
	}
	if len(text) == 0 {
		return 0
	}
	return xxhash.Sum64(text)
}
