package follow

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"filbertmill.example/gateway/replica"
)

// Order ranks nodes by their fitness as relays: the strongest first, among
// equals by a hash of the name.
func Order(nodes []replica.Node) []replica.Node {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b replica.Node) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(hash(a.Name), hash(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// RankHomes ranks relays as homes of a service: the first runs its Scheduler.
func RankHomes(service string, relays []replica.Node) []replica.Node {
	ranked := slices.Clone(relays)
	slices.SortFunc(ranked, func(a, b replica.Node) int {
		return cmp.Or(cmp.Compare(hash(service+"\x00"+a.Name), hash(service+"\x00"+b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
