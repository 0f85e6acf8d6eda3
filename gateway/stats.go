package gateway

import (
	"expvar"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/quota"
	"filbertmill.example/outcome"
	"filbertmill.example/platform"
)

// Range of the latency histograms in milliseconds, and their precision in
// significant decimal digits.
const (
	latencyMin    = 1
	latencyMax    = 60_000
	latencyDigits = 2
)

// stats contains the node's counters. There is one per process, because expvar
// names are global.
type stats struct {
	// requests counts answers by the reason of their outcome, attempts counts
	// attempts by verdict, and storeCalls counts calls to the store by path and result.
	requests   *expvar.Map
	attempts   *expvar.Map
	storeCalls *expvar.Map
	// brokenAnswers counts invalid answers of targets by exchange.Breach.
	brokenAnswers *expvar.Map
	// deliveries counts requests by the ingress.Fate of their answers, connections
	// counts callers' connections by how they ended, and discardedBytes counts the
	// bytes received on them after the last request that was accepted.
	deliveries     *expvar.Map
	connections    *expvar.Map
	discardedBytes *expvar.Int
	// balance counts what this node granted or refused as a home and for itself.
	balance *balance.Stats
	// quotas counts the decisions on requests of workspaces with a quota.
	quotas *quota.Stats
	// advice counts answers of targets by the kind of advice that they gave.
	advice *expvar.Map
	// zoneBytes counts the bytes of bodies that this node exchanged with other availability
	// zones, by kind of message.
	zoneBytes *expvar.Map
	// panics counts the panics recovered on requests and connections.
	panics *expvar.Int

	mu sync.Mutex
	// latencies contains histograms of the time to the answer, by outcome.
	latencies map[outcome.Kind]*hdrhistogram.Histogram
}

var processStats = newProcessStats()

func newProcessStats() *stats {
	s := &stats{
		requests:      expvar.NewMap("requests"),
		attempts:      expvar.NewMap("attempts"),
		storeCalls:    expvar.NewMap("store_calls"),
		brokenAnswers: expvar.NewMap("answers_broken"),

		deliveries:     expvar.NewMap("deliveries"),
		connections:    expvar.NewMap("caller_connections_ended"),
		discardedBytes: expvar.NewInt("caller_bytes_discarded"),
		balance:        balance.NewStats(),
		quotas:         &quota.Stats{Decisions: expvar.NewMap("quota_decisions")},
		advice:         expvar.NewMap("target_advice"),
		zoneBytes:      expvar.NewMap("zone_bytes"),
		panics:         expvar.NewInt("panics"),

		latencies: make(map[outcome.Kind]*hdrhistogram.Histogram),
	}
	expvar.Publish("latency_ms", expvar.Func(s.quantiles))
	return s
}

func newStats() *stats { return processStats }

// countAnswer counts one answer to a caller.
func (s *stats) countAnswer(o outcome.Outcome, elapsed time.Duration) {
	s.requests.Add(string(o.Reason), 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.latencies[o.Kind]
	if h == nil {
		h = hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
		s.latencies[o.Kind] = h
	}
	// RecordValue cannot fail, because the value is clamped to the histogram's range.
	_ = h.RecordValue(min(max(elapsed.Milliseconds(), latencyMin), latencyMax))
}

// quantiles returns the latency quantiles, in milliseconds, by outcome.
func (s *stats) quantiles() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[outcome.Kind]map[string]int64)
	for kind, h := range s.latencies {
		all[kind] = map[string]int64{
			"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p90": h.ValueAtQuantile(90),
			"p99": h.ValueAtQuantile(99), "max": h.Max(),
		}
	}
	return all
}

func (s *stats) countStoreCall(uri string, err error) {
	path, _, _ := strings.Cut(uri, "?")
	result := "done"
	switch {
	case errors.Is(err, platform.ErrNotApplied):
		result = "not_done"
	case err != nil:
		result = "failed"
	}
	s.storeCalls.Add(path+" "+result, 1)
}

// publishState publishes the memory use of answers, the configuration in force and
// the numbers of targets by state.
func (n *Node) publishState() {
	expvar.Publish("answer_memory", expvar.Func(func() any { return n.memory.Use() }))
	expvar.Publish("caller_memory", expvar.Func(func() any { return n.room.Usage() }))
	expvar.Publish("caller_body_memory", expvar.Func(func() any { return n.callers.BodyMemory() }))
	expvar.Publish("caller_connections_displaced", expvar.Func(func() any { return n.callers.Displaced() }))
	expvar.Publish("configuration", expvar.Func(func() any {
		view := n.replica.View()
		state := map[string]int64{"revision": int64(view.Revision), "copy_age_ms": n.follower.CopyAge().Milliseconds()}
		if view.Config != nil {
			state["version"] = int64(view.Config.Revision)
		}
		return state
	}))
	expvar.Publish("targets", expvar.Func(func() any {
		all := make(map[string]map[string]int)
		for _, snap := range n.shared.Snapshots() {
			states := make(map[string]int)
			for _, t := range snap.Targets {
				states[t.State]++
			}
			all[snap.Service] = states
		}
		return all
	}))
}

// countMessage counts the bytes of a message to another node.
func (n *Node) countMessage(to control.Peer, kind control.Kind, bytes int) {
	n.countZoneBytes(to.AvailabilityZone, string(kind), int64(bytes))
}

// countZoneBytes counts bytes exchanged with a zone, if it is known to be another one.
func (n *Node) countZoneBytes(zone, kind string, bytes int64) {
	if zone != "" && zone != n.settings.AvailabilityZone {
		n.stats.zoneBytes.Add(kind, bytes)
	}
}
