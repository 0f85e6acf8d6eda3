package fleet

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"filbertmill.example/fleet/control"
)

// testMembers returns n members, distributed evenly over the zones.
func testMembers(n, zones int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{
			Peer: control.Peer{
				Name:             fmt.Sprintf("node-%04d", i),
				AvailabilityZone: fmt.Sprintf("zone-%d", i%zones),
				Region:           "region",
			},
			Incarnation: 1,
		}
	}
	return out
}

func names(members []Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Name()
	}
	return out
}

func TestRankIgnoresOrderAndSpreadsZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		members := testMembers(rapid.IntRange(1, 40).Draw(t, "members"), zones)
		shuffled := rapid.Permutation(members).Draw(t, "order")
		service := rapid.StringN(1, 8, -1).Draw(t, "service")
		ranks := Rank(service, members)
		if !slices.Equal(names(ranks), names(Rank(service, shuffled))) {
			t.Fatal("the order of members changed the ranks")
		}
		seen := make(map[string]bool)
		for _, m := range ranks[:min(zones, len(ranks))] {
			if seen[m.Peer.AvailabilityZone] {
				t.Fatalf("zone %s twice among the first ranks", m.Peer.AvailabilityZone)
			}
			seen[m.Peer.AvailabilityZone] = true
		}
		n := rapid.IntRange(0, len(members)).Draw(t, "n")
		if !slices.Equal(names(RankTop(service, members, n)), names(ranks)[:n]) {
			t.Fatal("RankTop differs from Rank")
		}
	})
}

func TestRankMovesOnlyTheLostHome(t *testing.T) {
	members := testMembers(48, 4)
	for i := range 200 {
		service := fmt.Sprintf("service-%d", i)
		home := Rank(service, members)[0]
		for lost := range members {
			if members[lost].Name() == home.Name() {
				continue
			}
			rest := slices.Delete(slices.Clone(members), lost, lost+1)
			qt.Assert(t, Rank(service, rest)[0], qt.Equals, home)
		}
	}
}

func testLoads(n int) []Load {
	loads := make([]Load, n)
	for i := range loads {
		loads[i] = Load{Name: fmt.Sprintf("service-%d", i), Weight: 16 + i%5*10}
	}
	return loads
}

func TestAssignBoundsEachNode(t *testing.T) {
	tests := []struct {
		desc           string
		loads, members int
	}{
		{"fewer services than nodes", 8, 48},
		{"more services than nodes", 400, 48},
		{"one node", 5, 1},
		{"planned ratio", 160, 580},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			loads := testLoads(test.loads)
			members := testMembers(test.members, 4)
			homes := Assign(loads, members)
			qt.Assert(t, homes, qt.HasLen, len(loads))
			assigned := make(map[string]int)
			count := make(map[string]int)
			for _, l := range loads {
				assigned[homes[l.Name][0].Name()] += l.Weight
				count[homes[l.Name][0].Name()]++
			}
			bound := loadBound(loads, len(members))
			for name, c := range assigned {
				qt.Assert(t, c <= bound || count[name] == 1, qt.IsTrue, qt.Commentf("%s carries %d of %d", name, c, bound))
			}
		})
	}
}

func TestAssignMovesLittleWhenANodeLeaves(t *testing.T) {
	loads := testLoads(400)
	members := testMembers(48, 4)
	before := Assign(loads, members)
	moved, mustMove := 0, 0
	for lost := range members {
		rest := slices.Delete(slices.Clone(members), lost, lost+1)
		after := Assign(loads, rest)
		for _, l := range loads {
			if before[l.Name][0].Name() == members[lost].Name() {
				mustMove++
			}
			if before[l.Name][0].Name() != after[l.Name][0].Name() {
				moved++
			}
		}
	}
	t.Logf("moved %d services where %d had to move", moved, mustMove)
	qt.Assert(t, moved <= 2*mustMove, qt.IsTrue, qt.Commentf("moved %d, had to move %d", moved, mustMove))
}

func TestSplitFloorsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := make([]ShardTarget, rapid.IntRange(1, 60).Draw(t, "targets"))
		total := 0
		for i := range targets {
			targets[i] = ShardTarget{
				Name:             fmt.Sprintf("t%d", i),
				AvailabilityZone: fmt.Sprintf("z%d", i%4),
				Slots:            rapid.IntRange(1, 6).Draw(t, "slots"),
			}
			total += targets[i].Slots
		}
		floor := rapid.IntRange(0, total).Draw(t, "floor")
		shards := Split("s", targets, floor, rapid.IntRange(1, 8).Draw(t, "count"))
		seen, sum := 0, 0
		for _, s := range shards {
			if s.FloorSlots > s.Slots {
				t.Fatalf("floor %d above %d slots", s.FloorSlots, s.Slots)
			}
			seen += len(s.Targets)
			sum += s.FloorSlots
		}
		if seen != len(targets) || sum != floor {
			t.Fatalf("%d of %d targets, floors add up to %d of %d", seen, len(targets), sum, floor)
		}
	})
}
