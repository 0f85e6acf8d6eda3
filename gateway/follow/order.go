package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"filbertmill.example/gateway/replica"
)

// RankRelays returns nodes in the order in which they become relays: those with the
// largest CPU share first, of equal ones those with the largest bandwidth, and equal ones
// by a hash of their names.
func RankRelays(nodes []replica.Node) []replica.Node {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b replica.Node) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(hash(a.Name), hash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// RankHomes returns relays in the order in which they become the home of a service.
// The home of a service is the relay that runs its Scheduler: the first one.
func RankHomes(service string, relays []replica.Node) []replica.Node {
	ranked := slices.Clone(relays)
	slices.SortFunc(ranked, func(a, b replica.Node) int {
		return cmp.Or(cmp.Compare(hash(service+"\x00"+a.Name), hash(service+"\x00"+b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
