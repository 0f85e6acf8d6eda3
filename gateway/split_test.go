package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/config/dynamic"
)

// splitRoute returns a route that is split between a, b and c by the given weights.
func splitRoute(a, b, c int) *dynamic.Route {
	return &dynamic.Route{Name: "upload", Split: []dynamic.Share{{Service: "a", Weight: a}, {Service: "b", Weight: b}, {Service: "c", Weight: c}}}
}

// checkShares has each splitter choose services for a number of requests, and checks
// that the shares of all together differ from the weights by at most the tolerance.
func checkShares(t *testing.T, nodes []*splitter, requests int, route *dynamic.Route, tolerance float64) {
	t.Helper()
	got := make(map[string]int)
	for _, s := range nodes {
		for range requests {
			got[s.service(route)]++
		}
	}
	total := 0
	for _, share := range route.Split {
		total += share.Weight
	}
	for _, share := range route.Split {
		want := float64(share.Weight) / float64(total)
		is := float64(got[share.Service]) / float64(len(nodes)*requests)
		qt.Check(t, is >= want-tolerance && is <= want+tolerance, qt.IsTrue,
			qt.Commentf("%d nodes, %d requests each, %s: %.3f for %.3f", len(nodes), requests, share.Service, is, want))
	}
}

// TestSplitFollowsItsWeights plays a fleet of many nodes with few requests each: the
// shares of 320 requests must be within half of what the platform allows, in any of
// 300 fleets. Requests drawn at random would differ by more in some of them.
func TestSplitFollowsItsWeights(t *testing.T) {
	const platformTolerance = 0.1
	for range 300 {
		nodes := make([]*splitter, 40)
		for i := range nodes {
			nodes[i] = &splitter{}
		}
		checkShares(t, nodes, 8, splitRoute(50, 30, 20), platformTolerance/2)
		// The weights change, and one service gets no more requests.
		checkShares(t, nodes, 8, splitRoute(10, 90, 0), platformTolerance/2)
	}
}

// TestSplitOfOneNodeIsExact checks one node with many requests, to within one request
// in a hundred.
func TestSplitOfOneNodeIsExact(t *testing.T) {
	s := &splitter{}
	for _, route := range []*dynamic.Route{splitRoute(50, 30, 20), splitRoute(98, 1, 1), splitRoute(0, 0, 7)} {
		checkShares(t, []*splitter{s}, 1000, route, 0.01)
	}
	qt.Check(t, s.service(&dynamic.Route{Name: "whole", Service: "d"}), qt.Equals, "d")
}
