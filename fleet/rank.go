package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ranked is a member with its rendezvous score for one service.
type ranked struct {
	member Member
	score  uint64
}

// Rank orders the members by rendezvous hashing of the service's name: the
// first is its home, the others are its successors. Successors from
// availability zones not used by a better rank come first, so that the loss of
// a zone leaves the next rank standing. The order of members does not matter;
// removing a member changes the ranks of the others only where zones demand it.
func Rank(service string, members []Member) []Member {
	all := scored(service, members)
	slices.SortFunc(all, compareRanked)
	return spreadZones(all)
}

// RankTop returns the first n members of Rank without sorting the rest.
func RankTop(service string, members []Member, n int) []Member {
	if n >= len(members) {
		return Rank(service, members)
	}
	if n <= 0 {
		return nil
	}
	return topSpread(scored(service, members), n)
}

func scored(service string, members []Member) []ranked {
	key := xxhash.Sum64String(service)
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{member: m, score: mix(key ^ xxhash.Sum64String(m.Name()))}
	}
	return all
}

// mix spreads the combined hash over all bits (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name(), b.member.Name()))
}

// spreadZones takes members sorted by score and reorders them in passes: each
// pass takes the best remaining member of each availability zone.
func spreadZones(sorted []ranked) []Member {
	out := make([]Member, 0, len(sorted))
	taken := make([]bool, len(sorted))
	for len(out) < len(sorted) {
		used := make(map[string]bool)
		for i, r := range sorted {
			zone := r.member.Peer.AvailabilityZone
			if taken[i] || used[zone] {
				continue
			}
			taken[i] = true
			used[zone] = true
			out = append(out, r.member)
		}
	}
	return out
}

// topSpread returns the first n of spreadZones. Per zone no more than n
// members can be among them.
func topSpread(all []ranked, n int) []Member {
	best := make(map[string][]ranked)
	for _, r := range all {
		zone := r.member.Peer.AvailabilityZone
		best[zone] = insertBest(best[zone], r, n)
	}
	var few []ranked
	for _, zone := range best {
		few = append(few, zone...)
	}
	slices.SortFunc(few, compareRanked)
	return spreadZones(few)[:n]
}

// insertBest keeps the n best members in order.
func insertBest(top []ranked, r ranked, n int) []ranked {
	if len(top) == n && compareRanked(top[n-1], r) <= 0 {
		return top
	}
	i, _ := slices.BinarySearchFunc(top, r, compareRanked)
	top = slices.Insert(top, i, r)
	return top[:min(len(top), n)]
}
