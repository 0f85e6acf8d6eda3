package event

import (
	"cmp"
	"slices"
)

// Merge merges the events of several nodes, ordered by the nodes' clocks, and
// keeps the latest up to the limit; 0 sets no limit. Events of one node with
// the same time stay in the order in which it took the decisions.
func Merge(results []QueryResult, limit int) []Event {
	var events []Event
	for _, r := range results {
		events = append(events, r.Events...)
	}
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node))
	})
	return latest(events, limit)
}
