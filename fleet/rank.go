package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders the members by rendezvous hashing of the service's name. The first
// is the home that the service gets unless Assign skips it for its load; the
// others are the successors. Members of availability zones that no better rank
// is in come first, so that the next rank survives the loss of a zone. The order
// of members does not matter. The removal of a member changes the relative order
// of the others only where the spread over the zones requires it.
func Rank(service string, members []Member) []Member {
	return newRanker(members).top(service, len(members))
}

// RankTop returns the first n members of Rank without sorting the others.
func RankTop(service string, members []Member, n int) []Member {
	return newRanker(members).top(service, n)
}

// ranker ranks one set of members for many services.
type ranker struct {
	members []Member
	// hashes are the hashes of the members' names and zones are the numbers of
	// their availability zones, from 0 to zoneCount-1.
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

// mix is the 64-bit finalizer of MurmurHash3. Each bit of x affects all bits of
// the result.
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

// top returns the first n ranks. Each availability zone has one rank before any
// zone has two. One zone can therefore have at most max(1, n-zoneCount+1) of
// them, which limits the scores to keep for each zone.
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

// insertBest inserts a score into a sorted list and keeps the n best.
func (r *ranker) insertBest(top []score, s score, n int) []score {
	if len(top) == n && r.compare(top[n-1], s) <= 0 {
		return top
	}
	i, _ := slices.BinarySearchFunc(top, s, r.compare)
	top = slices.Insert(top, i, s)
	return top[:min(len(top), n)]
}

// interleaveZones returns n members. In each pass it takes the best remaining
// member of each zone and orders these by their scores.
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
