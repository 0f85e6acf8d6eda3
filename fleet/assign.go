package fleet

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// LoadBound limits the load whose home is one node, as a multiple of the
	// node's fair share.
	LoadBound = 2
	// MaxRanks is the number of ranks kept for each service: its home and up
	// to five successors.
	MaxRanks = 6
)

// Load is a service, or a shard of one, that needs a home.
type Load struct {
	// Name identifies the service or shard.
	Name string
	// Weight is the demand, in a unit that all loads share, for example slots.
	Weight int
}

// Assign returns the ranks of each load, home first, by rendezvous hashing with
// bounded loads. The home is the best-ranked node that would not get more than
// LoadBound times its fair share of the total weight. A node may always be home
// to one load. Nodes that are skipped for their load stay successors. The
// result does not depend on the order of loads or members.
func Assign(loads []Load, members []Member) map[string][]Member {
	out := make(map[string][]Member, len(loads))
	if len(members) == 0 {
		return out
	}
	ranker := newRanker(members)
	bound := loadBound(loads, len(members))
	assigned := make(map[string]int, len(members))
	for _, l := range sortedByHash(loads) {
		fits := func(m Member) bool {
			c := assigned[m.Name()]
			return c == 0 || c+l.Weight <= bound
		}
		ranks := ranker.top(l.Name, MaxRanks)
		i := slices.IndexFunc(ranks, fits)
		if i < 0 {
			ranks = ranker.top(l.Name, len(members))
			i = max(0, slices.IndexFunc(ranks, fits))
		}
		out[l.Name] = promote(ranks, i)
		assigned[ranks[i].Name()] += l.Weight
	}
	return out
}

// loadBound returns the largest total weight whose home may be one node.
func loadBound(loads []Load, members int) int {
	total := 0
	for _, l := range loads {
		total += l.Weight
	}
	return int(math.Ceil(LoadBound * float64(total) / float64(members)))
}

// sortedByHash returns the loads ordered by the hash of their names. The order
// favors no load by its weight or by its place in the configuration.
func sortedByHash(loads []Load) []Load {
	sorted := slices.Clone(loads)
	slices.SortFunc(sorted, func(a, b Load) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return sorted
}

// promote returns ranks with the member at i moved to the front, limited to
// MaxRanks.
func promote(ranks []Member, i int) []Member {
	home := ranks[i]
	rest := slices.Delete(slices.Clone(ranks), i, i+1)
	return slices.Insert(rest, 0, home)[:min(len(ranks), MaxRanks)]
}
