package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"filbertmill.example/testbed/backend"
)

// call is one request of a caller and how it ended.
type call struct {
	id, route, method string
	// key is the key of a workspace, and claim the workspace that the caller claims to be;
	// empty without one.
	key, claim string
	// timeout is how long the caller waits for the answer.
	timeout time.Duration
	// halt is how long the caller stops midway through sending the request.
	halt time.Duration
	// work is the service time, and bytes the size of the answer, that the target is
	// asked for; 0 for the default.
	work  time.Duration
	bytes int
	// version is the configuration version whose own route was called, or 0.
	version int
	// node is the node that the request was sent to, and life the number of its
	// process, counted from 1.
	node string
	life int
	// slow is set if the caller's link is slow.
	slow bool
	// pipelined is set if an earlier request of the connection had no answer yet.
	pipelined bool
	// sent and fullySent are when the first and the last byte were sent. fullySent
	// is zero if not all bytes were sent.
	sent, fullySent time.Time
	// ended is when the answer was read or the connection ended. status is 0 if
	// there was no complete answer.
	ended  time.Time
	status int
	// endObserved is when the caller observed that the connection had ended. That is
	// later than ended if the caller had paused.
	endObserved time.Time
	// fromNode is set if the node itself made the answer. intact is set if the
	// answer is the complete one of a target to this request.
	fromNode, intact bool
	// target is the target that answered, limited is set if it stated a limit, and
	// leaving if it stated that it leaves.
	target           string
	limited, leaving bool
	// left is set if the caller closed the connection, and overdue if it did so
	// since the answer was overdue. crossed is set if the request crossed a closing
	// answer: the connection ended without an answer to it, after an earlier answer
	// that announced the close.
	left, overdue, crossed bool
}

// cut reports whether the node ended the connection without a complete answer.
func (c *call) cut() bool { return c.status == 0 && !c.left }

// lostPromise returns the promise that is broken if the request is lost.
func (c *call) lostPromise() string {
	if c.slow {
		return promiseLostSlow
	}
	return promiseLost
}

// hangs reports whether the requested service time is longer than the caller waits.
func (c *call) hangs() bool { return c.work > c.timeout }

// occurrence is an observed event: what happened, to which node or target, and when.
// An empty subject means all.
type occurrence struct {
	what    string
	subject string
	at      time.Time
}

// plannedWork is the time of planned work on one process of a node, or on all nodes
// if none is named.
type plannedWork struct {
	kind     kind
	node     string
	life     int
	from, to time.Time
}

// history records what callers and targets observed in one run.
type history struct {
	mu           sync.Mutex
	calls        []call
	pending      map[string]int
	versions     []time.Time
	leaves       []occurrence
	limits       []targetLimit
	faults       []occurrence
	planned      []plannedWork
	idleSettings []idleLimit
	strays       []occurrence
	overruns     []occurrence
	settledAt    time.Time
	runs         []backend.Run
	arrivals     []backend.Arrival
}

// recordSend records that a request is being sent to a node.
func (h *history) recordSend(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending == nil {
		h.pending = make(map[string]int)
	}
	h.pending[node]++
}

// pendingByNode returns the number of requests without an answer by node.
func (h *history) pendingByNode() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.pending)
}

// recordEnd records the end of a request.
func (h *history) recordEnd(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending[c.node]--
	h.calls = append(h.calls, c)
}

// recordVersion records when the write of a configuration version was acknowledged.
// The first version is 1.
func (h *history) recordVersion(version int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version == len(h.versions)+1 {
		h.versions = append(h.versions, at)
	}
}

// recordLeave records when a target reported that it is leaving.
func (h *history) recordLeave(target string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaves = append(h.leaves, occurrence{what: target, at: at})
}

// recordFault records the start or the end of a fault of a node, a target or the
// store.
func (h *history) recordFault(k kind, who string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k != configure {
		h.faults = append(h.faults, occurrence{string(k), who, at})
	}
}

// recordPlanned records planned work.
func (h *history) recordPlanned(s plannedWork) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planned = append(h.planned, s)
}

// recordStray records bytes that a caller received without a pending request.
func (h *history) recordStray(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.strays = append(h.strays, occurrence{subject: node, at: time.Now()})
}

// recordOverrun records a node that did not end within its grace period.
func (h *history) recordOverrun(node string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overruns = append(h.overruns, occurrence{subject: node, at: time.Now()})
}

// idleLimit is the idle timeout of a configuration, with the time at which the
// configuration was sent.
type idleLimit struct {
	limit time.Duration
	sent  time.Time
}

// recordIdleLimit records the idle timeout of a configuration that is being written.
func (h *history) recordIdleLimit(l idleLimit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idleSettings = append(h.idleSettings, l)
}

// idleLimitSince returns the lowest idle timeout that some node may have had in
// force since a time.
func (h *history) idleLimitSince(t time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	least := time.Duration(0)
	for i, l := range h.idleSettings {
		over := i+1 < len(h.idleSettings) && h.idleSettings[i+1].sent.Before(t.Add(-faultEffectTime-applyBound))
		if !over && (least == 0 || l.limit < least) {
			least = l.limit
		}
	}
	return least
}

// unplannedFaultOf reports whether a fault of the node or target that is not planned
// work began or ended between two times. Faults without a subject count for all.
func (h *history) unplannedFaultOf(who string, from, to time.Time) bool {
	return slices.ContainsFunc(h.faults, func(m occurrence) bool {
		return (m.subject == "" || m.subject == who) && m.at.After(from) && m.at.Before(to) && !slices.Contains(plannedKinds, kind(m.what))
	})
}

// recordSettled records when the last fault ended.
func (h *history) recordSettled(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settledAt = at
}

// faultWithin reports whether a fault began or ended between two times.
func (h *history) faultWithin(from, to time.Time) bool {
	return slices.ContainsFunc(h.faults, func(m occurrence) bool { return m.at.After(from) && m.at.Before(to) })
}

// stallWithin reports whether a stall of the machine began or ended between two
// times.
func (h *history) stallWithin(from, to time.Time) bool {
	return slices.ContainsFunc(h.faults, func(m occurrence) bool {
		return m.what == string(machineStalls) && m.at.After(from) && m.at.Before(to)
	})
}

// unplannedFaultWithin reports whether a fault that is not planned work began or
// ended between two times.
func (h *history) unplannedFaultWithin(from, to time.Time) bool {
	return slices.ContainsFunc(h.faults, func(m occurrence) bool {
		return m.at.After(from) && m.at.Before(to) && !slices.Contains(plannedKinds, kind(m.what))
	})
}

// snapshot returns a copy, with the runs and arrivals that the targets have
// recorded.
func (h *history) snapshot(ledger *backend.Ledger) *history {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &history{
		calls: slices.Clone(h.calls), versions: slices.Clone(h.versions), leaves: slices.Clone(h.leaves), limits: slices.Clone(h.limits),
		faults: slices.Clone(h.faults), planned: slices.Clone(h.planned), strays: slices.Clone(h.strays),
		overruns: slices.Clone(h.overruns), settledAt: h.settledAt, runs: ledger.Runs(), arrivals: ledger.Arrivals(),
	}
}

// summary returns the counts of requests by how they ended.
func (h *history) summary() string {
	counts := make(map[int]int)
	left, crossed, behind := 0, 0, 0
	for _, c := range h.calls {
		switch {
		case c.left:
			left++
		case c.crossed:
			crossed++
		default:
			counts[c.status]++
		}
		if c.pipelined {
			behind++
		}
	}
	stalls := 0
	for _, m := range h.faults {
		if m.what == string(machineStalls) {
			stalls++
		}
	}
	return fmt.Sprintf("%d requests (%d pipelined), %d answered 200, %d refused, %d failed, %d cut, %d left by callers, %d after a closing answer, %d versions, %d stalls of the machine",
		len(h.calls), behind, counts[200], counts[503]+counts[429], counts[500]+counts[502]+counts[504], counts[0], left, crossed, len(h.versions), stalls/2)
}
