package follow

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/gateway/replica"
)

func fleet(n int, zones ...string) []replica.Node {
	var list []replica.Node
	for i := range n {
		list = append(list, replica.Node{
			Name: fmt.Sprintf("n%02d", i), AvailabilityZone: zones[i%len(zones)], ControlAddress: fmt.Sprintf("10.0.0.%d:1", i), CPUShare: 0.2,
		})
	}
	return list
}

func TestOrderTakesStrongNodesFirst(t *testing.T) {
	nodes := fleet(12, "a", "b", "c")
	nodes[4].CPUShare, nodes[7].CPUShare, nodes[9].CPUShare = 0.8, 0.8, 0.8
	ranked := RankRelays(nodes)
	strong := map[string]bool{}
	for _, n := range ranked[:3] {
		strong[n.Name] = true
	}
	qt.Check(t, strong, qt.DeepEquals, map[string]bool{"n04": true, "n07": true, "n09": true})
}

// TestOrderDoesNotDependOnTheListing guards against nodes that disagree on the relays
// or homes because their lists are in a different order.
func TestOrderDoesNotDependOnTheListing(t *testing.T) {
	nodes := fleet(9, "a", "b")
	reversed := make([]replica.Node, len(nodes))
	for i, n := range nodes {
		reversed[len(nodes)-1-i] = n
	}
	qt.Check(t, RankRelays(reversed), qt.DeepEquals, RankRelays(nodes))
	qt.Check(t, RankHomes("s", reversed), qt.DeepEquals, RankHomes("s", nodes))
}

func TestLossOfARelayMovesOnlyItsHomes(t *testing.T) {
	relays := fleet(4, "a", "b", "c", "d")
	for i := range 50 {
		service := fmt.Sprintf("s%d", i)
		before := RankHomes(service, relays)
		after := RankHomes(service, relays[1:])
		if before[0] != relays[0] {
			qt.Check(t, after[0], qt.Equals, before[0])
		} else {
			qt.Check(t, after[0], qt.Equals, before[1])
		}
	}
}
