package fleet

import (
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// buckets is the number of parts in which two tables are compared.
	buckets = 256
	// rumorFactor times the logarithm of the fleet's size is how often a
	// change is passed on.
	rumorFactor = 3
	// goneRetention is how long a gone member is remembered, so that an old
	// record does not bring it back and a healed partition is noticed.
	goneRetention = 2 * time.Hour
)

// entry is a member and what the table keeps beside it.
type entry struct {
	member Member
	since  time.Time
	hash   uint64
}

// table holds the newest record of each member. It belongs to the control
// goroutine.
type table struct {
	entries map[string]entry
	digests [buckets]uint64
	rumors  map[string]int
	// generation counts changes of the records.
	generation int
	stateLists map[string][]Member
}

func newTable() *table {
	return &table{
		entries:    make(map[string]entry),
		rumors:     make(map[string]int),
		stateLists: make(map[string][]Member),
	}
}

// apply takes a record in if it is newer, and passes it on then. A gone member
// that is not known is not worth a place.
func (t *table) apply(m Member, now time.Time) bool {
	old, known := t.entries[m.Name()]
	if m.Name() == "" || known && !m.Supersedes(old.member) || !known && m.State == StateGone {
		return false
	}
	e := entry{member: m, since: now, hash: recordHash(m)}
	b := bucketOf(m.Name())
	t.digests[b] ^= old.hash ^ e.hash
	t.entries[m.Name()] = e
	t.rumors[m.Name()] = rumorFactor * bits.Len(uint(len(t.entries)))
	t.recordChange()
	return true
}

// dropExpired drops members that have been gone or suspected for long.
func (t *table) dropExpired(now time.Time) {
	for name, e := range t.entries {
		lost := e.member.State == StateGone || e.member.State == StateSuspect
		if lost && now.Sub(e.since) > goneRetention {
			t.digests[bucketOf(name)] ^= e.hash
			delete(t.entries, name)
			delete(t.rumors, name)
			t.recordChange()
		}
	}
}

func (t *table) recordChange() {
	t.generation++
	clear(t.stateLists)
}

// resetAges sets the age of all records to zero, after a pause in which
// nothing could be learned.
func (t *table) resetAges(now time.Time) {
	for name, e := range t.entries {
		e.since = now
		t.entries[name] = e
	}
}

// takeRumors returns up to n records that should be passed on, those passed on
// least first.
func (t *table) takeRumors(n int) []Member {
	names := make([]string, 0, len(t.rumors))
	for name := range t.rumors {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if d := t.rumors[b] - t.rumors[a]; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	names = names[:min(n, len(names))]
	out := make([]Member, len(names))
	for i, name := range names {
		out[i] = t.entries[name].member
		t.rumors[name]--
		if t.rumors[name] <= 0 {
			delete(t.rumors, name)
		}
	}
	return out
}

// summary returns one hash of all records.
func (t *table) summary() uint64 {
	var sum uint64
	for i, d := range t.digests {
		sum ^= mix(d + uint64(i))
	}
	return sum
}

// packedDigests returns the low half of each bucket's hash, four bytes each.
func (t *table) packedDigests() []byte {
	out := make([]byte, 0, 4*buckets)
	for _, d := range t.digests {
		out = binary.BigEndian.AppendUint32(out, uint32(d))
	}
	return out
}

// differingBuckets returns the buckets in which a peer's digests differ.
func (t *table) differingBuckets(packed []byte) []uint16 {
	var out []uint16
	if len(packed) != 4*buckets {
		return nil
	}
	for i, d := range t.digests {
		if binary.BigEndian.Uint32(packed[4*i:]) != uint32(d) {
			out = append(out, uint16(i))
		}
	}
	return out
}

// records returns the records of some buckets.
func (t *table) records(of []uint16) []Member {
	var out []Member
	for name, e := range t.entries {
		if slices.Contains(of, bucketOf(name)) {
			out = append(out, e.member)
		}
	}
	return out
}

// inState returns the members in any of the states, by name. Callers must not
// change the list; it is made once for each change of the table.
func (t *table) inState(states ...State) []Member {
	key := fmt.Sprint(states)
	if list, ok := t.stateLists[key]; ok {
		return list
	}
	var out []Member
	for _, e := range t.entries {
		if slices.Contains(states, e.member.State) {
			out = append(out, e.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name(), b.Name()) })
	t.stateLists[key] = out
	return out
}

func bucketOf(name string) uint16 { return uint16(xxhash.Sum64String(name) % buckets) }

func recordHash(m Member) uint64 {
	d := xxhash.New()
	for _, s := range []string{
		m.Peer.Name, m.Peer.AvailabilityZone, m.Peer.Region, m.Peer.PeerAddress, m.Peer.ControlAddress,
	} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	var tail [9]byte
	binary.BigEndian.PutUint64(tail[:], m.Incarnation)
	tail[8] = byte(m.State)
	_, _ = d.Write(tail[:])
	return d.Sum64()
}
