package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringPartnerCount is the number of members that each node monitors. While
	// the nodes' views agree, it is also the number of members that monitor
	// each node.
	ringPartnerCount = 3
	// sampledPartnerCount is the number of further gossip partners, which are
	// chosen at random.
	sampledPartnerCount = 3
)

// ringAfter returns the n members that follow self on a hash ring of the names.
func ringAfter(self string, members []Member, n int) []Member {
	ring := slices.Clone(members)
	slices.SortFunc(ring, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(a.Name()), xxhash.Sum64String(b.Name())),
			cmp.Compare(a.Name(), b.Name()),
		)
	})
	own := xxhash.Sum64String(self)
	start, _ := slices.BinarySearchFunc(ring, own, func(m Member, h uint64) int {
		return cmp.Compare(xxhash.Sum64String(m.Name()), h)
	})
	var out []Member
	for i := range ring {
		m := ring[(start+i)%len(ring)]
		if m.Name() != self && len(out) < n {
			out = append(out, m)
		}
	}
	return out
}

// sample returns up to n random members other than self, each with the same
// probability.
func sample(rng *rand.Rand, self string, members []Member, n int) []Member {
	var out []Member
	for _, i := range rng.Perm(len(members)) {
		if len(out) == n {
			break
		}
		if members[i].Name() != self {
			out = append(out, members[i])
		}
	}
	return out
}
