package poison

import (
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
)

// Handover is an entry as one node tells it another.
type Handover struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Left is the rest of the quarantine.
	Left time.Duration `cbor:"2,keyasint"`
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
			list = append(list, Handover{e.Fingerprint, left})
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
