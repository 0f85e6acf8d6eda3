package drive

import (
	"slices"
	"strings"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
	"filbertmill.example/pool"
)

// conditionTail is how long after the end of a condition an ejection still counts as
// caused by that condition.
const conditionTail = 5 * time.Second

// Ejection is one decision to take a target out of service.
type Ejection struct {
	// At is the time from the start of the trace.
	At     time.Duration
	Target string
	Rule   string
	// Node is the number of the node that decided.
	Node int
	// False is set if the target was in no condition of its own.
	False bool
	// Healthy is the number of healthy slots after the decision.
	Healthy int
}

// Report holds the results of a run.
type Report struct {
	trace Trace
	// Offered, InTime, Refused and Failed count requests.
	Offered, InTime, Refused, Failed int
	// Reasons counts the requests without an answer by reason.
	Reasons map[outcome.Reason]int
	// Waits holds how long requests waited before they were first started, by route.
	Waits map[string][]time.Duration
	// InTimeByCaller counts answers in time by caller.
	InTimeByCaller map[string]int
	// InTimeByRoute counts answers in time by route.
	InTimeByRoute map[string]int
	// UnstartedWaits holds how long each refused request that was never started waited
	// for its refusal.
	UnstartedWaits []time.Duration
	// Useful is the slot time of answers given in time; Wasted is the slot time of
	// other exchanges. Neither counts attempts that the target refused or that did
	// not reach it.
	Useful, Wasted time.Duration
	// UsefulShare is the share of the slots' capacity, within the window from
	// Options.From to Options.To, that was used for answers given in time.
	UsefulShare float64
	// Probes counts probes; Sheds counts attempts that targets refused.
	Probes, Sheds int
	Ejections     []Ejection
	Events        []event.Event
	// FloorViolations counts ejections after which fewer healthy slots than the
	// floor were left.
	FloorViolations int
	// Final holds the targets' states at the end, according to the first node.
	Final map[string]string
	// sends holds the times at which attempts were sent, by target.
	sends map[string][]time.Duration
	nodes []*node
	// inWindow is the useful slot time within the window.
	inWindow time.Duration
}

// overlap returns how long the attempt worked within the window.
func (a *attempt) overlap(now time.Duration) time.Duration {
	opts := a.node.run.opts
	return max(0, min(now, opts.To)-max(a.began, opts.From))
}

func newReport(tr Trace) *Report {
	return &Report{
		trace:          tr,
		Reasons:        make(map[outcome.Reason]int),
		Waits:          make(map[string][]time.Duration),
		InTimeByCaller: make(map[string]int),
		InTimeByRoute:  make(map[string]int),
		Final:          make(map[string]string),
		sends:          make(map[string][]time.Duration),
	}
}

func (p *Report) offered(*request) { p.Offered++ }

func (p *Report) waited(req *request, wait time.Duration) {
	p.Waits[req.arrival.Route] = append(p.Waits[req.arrival.Route], wait)
}

func (p *Report) sent(target string, now time.Duration) {
	p.sends[target] = append(p.sends[target], now)
}

func (p *Report) refused(req *request, reason outcome.Reason, now time.Duration) {
	p.Refused++
	p.Reasons[reason]++
	if !req.started {
		p.UnstartedWaits = append(p.UnstartedWaits, now-req.arrived)
	}
}

func (p *Report) failed(_ *request, reason outcome.Reason, _ time.Duration) {
	p.Failed++
	p.Reasons[reason]++
}

func (p *Report) answered(req *request, now time.Duration) {
	if now > req.deadline {
		p.Failed++
		return
	}
	p.InTime++
	p.InTimeByCaller[req.arrival.Caller]++
	p.InTimeByRoute[req.arrival.Route]++
}

// recordAttempt adds the slot time of an attempt to Useful or Wasted.
func (p *Report) recordAttempt(a *attempt, v pool.Verdict, now time.Duration) {
	switch v {
	case pool.VerdictRefused:
		p.Sheds++
	case pool.VerdictUnreachable:
	case pool.VerdictAnswered:
		p.Useful += a.service
		p.inWindow += a.overlap(now)
	default:
		p.Wasted += now - a.began
	}
}

func (p *Report) event(n *node, e event.Event) {
	if e.Kind != event.KindRefusal {
		p.Events = append(p.Events, e)
	}
	if e.Kind != event.KindEjection {
		return
	}
	at := n.run.now
	p.Ejections = append(p.Ejections, Ejection{
		At:      at,
		Target:  e.Target,
		Rule:    e.Rule,
		Node:    slices.Index(n.run.nodes, n),
		False:   !p.inCondition(e.Target, at),
		Healthy: e.Evidence.HealthySlots,
	})
}

// inCondition reports whether the target is, or was within the last conditionTail,
// in a condition of its own.
func (p *Report) inCondition(target string, at time.Duration) bool {
	return slices.ContainsFunc(p.trace.Conditions, func(c Condition) bool {
		over := c.To != 0 && at > time.Duration(c.To)+conditionTail
		return c.Target == target && at >= time.Duration(c.From) && !over
	})
}

func (p *Report) finish(r *run) {
	p.nodes = r.nodes
	if window := r.opts.To - r.opts.From; window > 0 {
		capacity := window * time.Duration(p.trace.Targets*p.trace.Slots)
		p.UsefulShare = float64(p.inWindow) / float64(capacity)
	}
	for _, e := range p.Ejections {
		if r.opts.Nodes == 1 && e.Healthy < p.trace.FloorSlots {
			p.FloorViolations++
		}
	}
	for _, t := range r.nodes[0].scheduler.Snapshot(r.clock()).Targets {
		p.Final[t.Name] = t.State
	}
}

// FalseEjections counts the ejections of targets without a condition of their own.
func (p *Report) FalseEjections() int {
	n := 0
	for _, e := range p.Ejections {
		if e.False {
			n++
		}
	}
	return n
}

// EjectedByMajority returns the time after since at which more than half of the nodes
// had ejected the target at least once, and how many requests were sent to the
// target until then. ok is false if this did not happen.
func (p *Report) EjectedByMajority(target string, since time.Duration) (after time.Duration, requests int, ok bool) {
	nodes := make(map[int]bool)
	for _, e := range p.Ejections {
		if e.Target != target || e.At < since {
			continue
		}
		nodes[e.Node] = true
		if 2*len(nodes) > len(p.nodes) {
			return e.At - since, p.sentBetween(target, since, e.At), true
		}
	}
	return 0, p.sentBetween(target, since, time.Hour), false
}

// Suspected returns the time after since at which the first node took the target out
// of the serving state, and how many requests were sent to the target until then. ok
// is false if this did not happen.
func (p *Report) Suspected(target string, since time.Duration) (after time.Duration, requests int, ok bool) {
	for _, e := range p.Events {
		at := e.Time.Sub(epoch)
		if e.Target == target && at >= since && e.From == string(pool.StateServing) && e.To != "" {
			return at - since, p.sentBetween(target, since, at), true
		}
	}
	return 0, p.sentBetween(target, since, time.Hour), false
}

func (p *Report) sentBetween(target string, from, to time.Duration) int {
	n := 0
	for _, at := range p.sends[target] {
		if at >= from && at <= to {
			n++
		}
	}
	return n
}

// LastSent returns the time after since at which a request was last sent to the
// target, or zero if none was.
func (p *Report) LastSent(target string, since time.Duration) time.Duration {
	last := time.Duration(0)
	for _, at := range p.sends[target] {
		last = max(last, at-since)
	}
	return last
}

// FirstConditionStart returns when the target's first condition of its own begins.
func (p *Report) FirstConditionStart(target string) time.Duration {
	for _, c := range p.trace.Conditions {
		if c.Target == target {
			return time.Duration(c.From)
		}
	}
	return 0
}

// Rules returns the rules of the target's ejections, in order.
func (p *Report) Rules(target string) string {
	var rules []string
	for _, e := range p.Ejections {
		if e.Target == target {
			rules = append(rules, e.Rule)
		}
	}
	return strings.Join(rules, ",")
}

// Quantile returns the given quantile of ds, or zero if there are none.
func Quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	sorted := slices.Clone(ds)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
