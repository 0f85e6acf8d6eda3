package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind names a fault or a change.
type kind string

// The faults and changes.
const (
	killNode      kind = "kill_node"
	pauseNode     kind = "pause_node"
	stopNode      kind = "stop_node"
	killAll       kind = "kill_all"
	cutStore      kind = "cut_store"
	silenceStore  kind = "silence_store"
	storeAway     kind = "store_away"
	storeRefuses  kind = "store_refuses"
	storeSlow     kind = "store_slow"
	storeForgets  kind = "store_forgets"
	storeDeaf     kind = "store_deaf"
	leasesLapse   kind = "leases_lapse"
	repliesLost   kind = "replies_lost"
	targetResets  kind = "target_resets"
	targetLoses   kind = "target_loses"
	targetFails   kind = "target_fails"
	targetHangs   kind = "target_hangs"
	targetFull    kind = "target_full"
	targetTwice   kind = "target_twice"
	targetEndless kind = "target_endless"
	targetCut     kind = "target_cut"
	targetOneWay  kind = "target_one_way"
	targetLeaves  kind = "target_leaves"
	targetCrashes kind = "target_crashes"
	configure     kind = "configure"
	reloadNode    kind = "reload_node"
	// stopBusy stops the node with the most requests in flight. rollNodes restarts
	// half of the nodes one after another. rollDrain restarts two while a target
	// leaves.
	stopBusy  kind = "stop_busy"
	rollNodes kind = "roll_nodes"
	rollDrain kind = "roll_drain"
	// churn writes several configurations in quick succession.
	churn kind = "churn"
	// machineStalls is not injected: the machine did not schedule this process for a
	// while.
	machineStalls kind = "machine_stalls"
)

var kinds = []kind{
	killNode, pauseNode, stopNode, killAll, cutStore, silenceStore, storeAway, storeRefuses, storeSlow, storeForgets,
	storeDeaf, leasesLapse, repliesLost, targetResets, targetLoses, targetFails, targetHangs, targetFull, targetTwice, targetEndless,
	targetCut, targetOneWay, targetLeaves, targetCrashes, configure, configure, configure,
	// The faults that lose the most requests are drawn twice as often.
	killAll, targetLoses,
	stopBusy, rollNodes, rollDrain, reloadNode, churn,
}

// plannedKinds are planned work, which must not lose a request.
var plannedKinds = []kind{stopNode, targetLeaves, configure, reloadNode, stopBusy, rollNodes, rollDrain, churn}

// step is one fault of a schedule. index selects the node, target or variant that it
// concerns.
type step struct {
	at       time.Duration
	kind     kind
	index    int
	duration time.Duration
}

// String describes the step.
func (s step) String() string {
	return fmt.Sprintf("%6.2f s %s %d for %.1f s", s.at.Seconds(), s.kind, s.index, s.duration.Seconds())
}

const (
	// meanGap is the mean time between the starts of two steps; steps overlap.
	meanGap = 800 * time.Millisecond
	// minDuration and maxDuration limit how long a fault lasts.
	minDuration = 500 * time.Millisecond
	maxDuration = 4 * time.Second
)

// newSchedule draws the steps of a run from the given kinds.
func newSchedule(rng *rand.Rand, length time.Duration, nodes int, kinds []kind) []step {
	var list []step
	for at := time.Second; at < length; at += time.Duration(rng.ExpFloat64() * float64(meanGap)) {
		list = append(list, step{
			at: at, kind: kinds[rng.IntN(len(kinds))], index: rng.IntN(nodes * backendsPerService),
			duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))),
		})
	}
	slices.SortFunc(list, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return list
}
