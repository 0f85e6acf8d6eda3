package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ShardTarget holds what Split needs to know of a target.
type ShardTarget struct {
	// Name identifies the target and AvailabilityZone is where it runs.
	Name             string
	AvailabilityZone string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
}

// Shard is a part of a service with a home of its own.
type Shard struct {
	// Name identifies the shard. A service with a single shard gives it its own
	// name.
	Name string
	// Targets are the names of the targets; each target is in one shard.
	Targets []string
	// Slots is the sum of the targets' slots.
	Slots int
	// FloorSlots is the shard's part of the floor of the service. The floor is
	// the healthy capacity, in slots, that ejections must leave.
	FloorSlots int
}

// Split divides a service into at most count shards of similar size, each with
// targets of many availability zones. The floors of the shards add up to
// floorSlots, so that the floor of the service holds if each shard holds its
// own. The result is the same on each node that has the same configuration.
func Split(service string, targets []ShardTarget, floorSlots, count int) []Shard {
	count = max(1, min(count, len(targets)))
	shards := make([]Shard, count)
	for i := range shards {
		shards[i].Name = shardName(service, i, count)
	}
	for _, t := range byDescendingSlots(targets) {
		s := smallest(shards)
		s.Targets = append(s.Targets, t.Name)
		s.Slots += t.Slots
	}
	splitFloor(shards, floorSlots)
	return shards
}

// PickShard returns the shard for a key. With a request's idempotency key, a
// repeated request gets to the shard that has the outcome of the first one.
func PickShard(shards []Shard, key string) Shard {
	return shards[mix(xxhash.Sum64String(key))%uint64(len(shards))]
}

func shardName(service string, i, count int) string {
	if count == 1 {
		return service
	}
	return service + "#" + strconv.Itoa(i)
}

// byDescendingSlots returns the targets ordered by their slots, the largest
// first, and then by zone and name. Assigning targets of equal size in this
// order spreads each zone over the shards.
func byDescendingSlots(targets []ShardTarget) []ShardTarget {
	sorted := slices.Clone(targets)
	slices.SortFunc(sorted, func(a, b ShardTarget) int {
		return cmp.Or(
			cmp.Compare(b.Slots, a.Slots),
			cmp.Compare(a.AvailabilityZone, b.AvailabilityZone),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return sorted
}

// smallest returns the shard with the fewest slots.
func smallest(shards []Shard) *Shard {
	best := &shards[0]
	for i := range shards {
		if shards[i].Slots < best.Slots {
			best = &shards[i]
		}
	}
	return best
}

// splitFloor gives each shard its proportional share of the floor, rounded
// down. The slots that are left go to the shards with the largest remainders,
// one slot each.
func splitFloor(shards []Shard, floorSlots int) {
	total := 0
	for _, s := range shards {
		total += s.Slots
	}
	if total == 0 {
		return
	}
	floorSlots = max(0, min(floorSlots, total))
	left := floorSlots
	order := make([]int, len(shards))
	for i := range shards {
		order[i] = i
		shards[i].FloorSlots = floorSlots * shards[i].Slots / total
		left -= shards[i].FloorSlots
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(floorSlots*shards[b].Slots%total, floorSlots*shards[a].Slots%total)
	})
	for _, i := range order[:left] {
		shards[i].FloorSlots++
	}
}
