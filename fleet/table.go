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
	// bucketCount is the number of buckets of a table. Two tables are compared
	// bucket by bucket.
	bucketCount = 256
	// rumorFactor times the binary logarithm of the fleet's size, rounded up,
	// is how often a node sends a changed record.
	rumorFactor = 3
	// goneRetention is how long the record of a gone or suspected member is
	// kept. It prevents an old record from making the member alive again, and
	// lets the node contact the member to detect the end of a partition.
	goneRetention = 2 * time.Hour
)

// entry is the table's entry of a member.
type entry struct {
	member Member
	// since is when the record was applied; hash is its recordHash.
	since time.Time
	hash  uint64
}

// table holds the newest record of each member. It is owned by the control
// goroutine.
type table struct {
	entries map[string]entry
	// digests holds the XOR of the hashes of the records in each bucket.
	digests [bucketCount]uint64
	// rumors maps the names of recently changed records to the number of times
	// that they still have to be sent.
	rumors map[string]int
	// generation counts changes of the records.
	generation int
	// stateLists caches the results of inState.
	stateLists map[string][]Member
}

func newTable() *table {
	return &table{
		entries:    make(map[string]entry),
		rumors:     make(map[string]int),
		stateLists: make(map[string][]Member),
	}
}

// apply stores a record if it supersedes the known one, and makes it a rumor. It
// reports whether the record was stored. A record of an unknown member that is
// gone is ignored.
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

// dropExpired deletes members that have been gone or suspected for longer than
// goneRetention.
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

// recordChange invalidates what was computed from the records.
func (t *table) recordChange() {
	t.generation++
	clear(t.stateLists)
}

// resetAges sets the age of all records to zero. It is called after a pause, in
// which no newer records could arrive, so that suspects get their full time to
// refute.
func (t *table) resetAges(now time.Time) {
	for name, e := range t.entries {
		e.since = now
		t.entries[name] = e
	}
}

// takeRumors returns up to n records to send, those with the most remaining
// transmissions first, and counts one transmission of each.
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

// packedDigests returns the low four bytes of the digest of each bucket.
func (t *table) packedDigests() []byte {
	out := make([]byte, 0, 4*bucketCount)
	for _, d := range t.digests {
		out = binary.BigEndian.AppendUint32(out, uint32(d))
	}
	return out
}

// differingBuckets returns the buckets whose digests differ from a peer's packed
// digests.
func (t *table) differingBuckets(packed []byte) []uint16 {
	var out []uint16
	if len(packed) != 4*bucketCount {
		return nil
	}
	for i, d := range t.digests {
		if binary.BigEndian.Uint32(packed[4*i:]) != uint32(d) {
			out = append(out, uint16(i))
		}
	}
	return out
}

// records returns the records in the given buckets.
func (t *table) records(wanted []uint16) []Member {
	var out []Member
	for name, e := range t.entries {
		if slices.Contains(wanted, bucketOf(name)) {
			out = append(out, e.member)
		}
	}
	return out
}

// inState returns the members in any of the states, sorted by name. Callers must
// not change the list, because it is cached until the table changes.
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

// bucketOf returns the bucket of the record with a name.
func bucketOf(name string) uint16 { return uint16(xxhash.Sum64String(name) % bucketCount) }

// recordHash returns the hash of all fields of a record.
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
