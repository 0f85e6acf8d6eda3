package pool

import (
	"math"
	"time"
)

// When slots are short, workspaces compete for them. Among attempts of the same rank, those
// of a workspace that has had more than its part of the slots wait behind the others; the
// parts are in proportion to the quotas. Whatever the ranks are, a workspace of which much
// less is served than of all goes first until it is not starved any more.

const (
	// shareTime is the time over which what workspaces ask for and get is averaged.
	shareTime = 2 * time.Second
	// A workspace that has had more than overPart times its part waits behind others of its
	// rank, and behind those too beyond farOverPart times.
	overPart    = 1.25
	farOverPart = 2.5
	// A workspace is starved if it gets less than starvedShare of what it asks for, in
	// proportion to what all get. The bound is a quarter.
	starvedShare = 0.4
	// minAsked is the number of attempts of a workspace from which on it can be starved.
	minAsked = 2
	// shareRecount is how long the sums over all workspaces remain valid.
	shareRecount = 25 * time.Millisecond
)

// moving is an exponentially decaying sum.
type moving struct {
	sum float64
	at  time.Time
}

func (m *moving) value(now time.Time) float64 {
	return m.sum * math.Exp(-now.Sub(m.at).Seconds()/shareTime.Seconds())
}

func (m *moving) add(now time.Time, x float64) { m.sum, m.at = m.value(now)+x, now }

// workspaceShare is what a workspace has asked for and got.
type workspaceShare struct {
	// weight is its part of the slots in proportion to those of others.
	weight float64
	// asked and started count attempts, and work the time of those started in seconds.
	asked, started, work moving
}

// workspaceShares holds those of all workspaces, with sums that are computed now and then.
type workspaceShares struct {
	byName  map[string]*workspaceShare
	counted time.Time
	// workPerWeight and served are the means over all workspaces.
	workPerWeight, served float64
}

// ask records that an attempt was submitted.
func (w *workspaceShares) ask(now time.Time, a *leastCostAttempt) {
	if a.Caller == "" {
		return
	}
	if w.byName == nil {
		w.byName = make(map[string]*workspaceShare)
	}
	share := w.byName[a.Caller]
	if share == nil {
		share = &workspaceShare{}
		w.byName[a.Caller] = share
	}
	share.weight = a.CallerWeight
	if share.weight <= 0 {
		share.weight = 1
	}
	share.asked.add(now, 1)
}

// start records that an attempt was started that usually takes the given time.
func (w *workspaceShares) start(now time.Time, a *leastCostAttempt, usual time.Duration) {
	if share := w.byName[a.Caller]; share != nil {
		share.started.add(now, 1)
		share.work.add(now, usual.Seconds())
	}
}

// recount computes the sums, and forgets workspaces that have asked for nothing lately.
func (w *workspaceShares) recount(now time.Time) {
	if now.Sub(w.counted) < shareRecount {
		return
	}
	w.counted = now
	const forgotten = 1e-3
	var work, weight, asked, started float64
	for name, share := range w.byName {
		x := share.asked.value(now)
		if x < forgotten {
			delete(w.byName, name)
			continue
		}
		asked += x
		started += share.started.value(now)
		work += share.work.value(now)
		weight += share.weight
	}
	w.workPerWeight, w.served = 0, 0
	if asked > 0 {
		w.workPerWeight, w.served = work/weight, started/asked
	}
}

// place returns where an attempt stands in the queue by what its workspace has had: -1 if
// it goes before all ranks, else how far it goes behind those of its rank.
func (w *workspaceShares) place(now time.Time, a *leastCostAttempt) (first, behind int) {
	share := w.byName[a.Caller]
	if share == nil {
		return 0, 0
	}
	w.recount(now)
	if asked := share.asked.value(now); asked >= minAsked && share.started.value(now) < starvedShare*w.served*asked {
		return -1, 0
	}
	switch part := share.work.value(now) / share.weight; {
	case part > farOverPart*w.workPerWeight:
		return 0, 2
	case part > overPart*w.workPerWeight:
		return 0, 1
	}
	return 0, 0
}
