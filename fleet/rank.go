package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the members by rendezvous hashing of the service's name: the
// first is its home, the others are its successors. Successors from
// availability zones not used by a better rank come first, so that the loss of
// a zone leaves the next rank standing. The order of members does not matter;
// removing a member changes the ranks of the others only where zones demand it.
func Rank(service string, members []Member) []Member {
	return newRanker(members).top(service, len(members))
}

// RankTop returns the first n members of Rank without sorting the rest.
func RankTop(service string, members []Member, n int) []Member {
	return newRanker(members).top(service, n)
}

// ranker ranks one set of members for many services.
type ranker struct {
	members   []Member
	hashes    []uint64
	zones     []int
	zoneCount int
}

// score is a member's rendezvous score for one service.
type score struct {
	value uint64
	index int
}

func newRanker(members []Member) *ranker {
	r := &ranker{members: members, hashes: make([]uint64, len(members)), zones: make([]int, len(members))}
	ids := make(map[string]int)
	for i := range members {
		r.hashes[i] = xxhash.Sum64String(members[i].Name())
		zone := members[i].Peer.AvailabilityZone
		id, ok := ids[zone]
		if !ok {
			id = len(ids)
			ids[zone] = id
		}
		r.zones[i] = id
	}
	r.zoneCount = len(ids)
	return r
}

// mix spreads the combined hash over all bits (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// compare orders scores, best first.
func (r *ranker) compare(a, b score) int {
	if a.value != b.value {
		return cmp.Compare(b.value, a.value)
	}
	return cmp.Compare(r.members[a.index].Peer.Name, r.members[b.index].Peer.Name)
}

// top returns the first n ranks. Each availability zone has a place before any
// has two, which bounds the members of one zone that can be among them.
func (r *ranker) top(service string, n int) []Member {
	n = min(n, len(r.members))
	if n <= 0 {
		return nil
	}
	key := xxhash.Sum64String(service)
	best := make([][]score, r.zoneCount)
	perZone := max(1, n-r.zoneCount+1)
	for i, h := range r.hashes {
		zone, value := r.zones[i], mix(key^h)
		if top := best[zone]; len(top) == perZone && value < top[perZone-1].value {
			continue
		}
		best[zone] = r.insertBest(best[zone], score{value: value, index: i}, perZone)
	}
	return r.interleaveZones(best, n)
}

// insertBest keeps the n best scores in order.
func (r *ranker) insertBest(top []score, s score, n int) []score {
	if len(top) == n && r.compare(top[n-1], s) <= 0 {
		return top
	}
	i, _ := slices.BinarySearchFunc(top, s, r.compare)
	top = slices.Insert(top, i, s)
	return top[:min(len(top), n)]
}

// interleaveZones takes the best remaining member of each zone, the best zone
// first, and again, until there are n.
func (r *ranker) interleaveZones(best [][]score, n int) []Member {
	out := make([]Member, 0, n)
	for pass := 0; len(out) < n; pass++ {
		var round []score
		for _, zone := range best {
			if pass < len(zone) {
				round = append(round, zone[pass])
			}
		}
		slices.SortFunc(round, r.compare)
		for _, s := range round[:min(len(round), n-len(out))] {
			out = append(out, r.members[s.index])
		}
	}
	return out
}
