package fleet

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// LoadBound is the multiple of a node's fair share of load that it may be
	// home to.
	LoadBound = 2
	// MaxRanks is the number of ranks kept for each service, home included.
	MaxRanks = 6
)

// Load is one service, or a shard of one, to find homes for.
type Load struct {
	// Name identifies it.
	Name string
	// Weight is its demand in any unit that all loads share, for example slots.
	Weight int
}

// Assign returns the ranks of each load, home first. The home is the best rank
// whose node would not carry more than LoadBound times its fair share, except
// that a node may always be home to one load. Nodes passed over stay
// successors. The result depends on the sets only and not on their order.
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

func loadBound(loads []Load, members int) int {
	total := 0
	for _, l := range loads {
		total += l.Weight
	}
	return int(math.Ceil(LoadBound * float64(total) / float64(members)))
}

// sortedByHash sorts loads so that each has an equal chance of coming early.
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

// promote moves the member at i to the front and keeps at most Successors.
func promote(ranks []Member, i int) []Member {
	home := ranks[i]
	rest := slices.Delete(slices.Clone(ranks), i, i+1)
	return slices.Insert(rest, 0, home)[:min(len(ranks), MaxRanks)]
}
