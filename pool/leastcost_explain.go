package pool

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"filbertmill.example/outcome"
)

// Explanation is what a Scheduler would do with an attempt now.
type Explanation struct {
	// Target is the target that would get it; empty if it would wait or be refused. Why
	// is the reason in a sentence.
	Target string `json:"target,omitempty" cbor:"1,keyasint,omitempty"`
	Why    string `json:"why" cbor:"2,keyasint"`
	// Refused is the reason of a refusal, and Wait how long the work ahead of it takes.
	Refused outcome.Reason `json:"refused,omitempty" cbor:"3,keyasint,omitempty"`
	Wait    time.Duration  `json:"wait_ns" cbor:"4,keyasint"`
	// Queued is the number of waiting attempts.
	Queued int `json:"queued" cbor:"5,keyasint"`
	// Candidates are the targets that could get it, the cheapest first, at most
	// maxCandidates of them. Targets is the number of all.
	Candidates []Candidate `json:"candidates" cbor:"6,keyasint"`
	Targets    int         `json:"targets" cbor:"7,keyasint"`
}

// Candidate is a target with what it would cost.
type Candidate struct {
	Name             string        `json:"name" cbor:"1,keyasint"`
	AvailabilityZone string        `json:"availability_zone" cbor:"2,keyasint"`
	State            string        `json:"state" cbor:"3,keyasint"`
	Free             int           `json:"free" cbor:"4,keyasint"`
	Slots            int           `json:"slots" cbor:"5,keyasint"`
	Risk             float64       `json:"risk" cbor:"6,keyasint"`
	Cost             time.Duration `json:"cost_ns" cbor:"7,keyasint"`
	ZoneCost         time.Duration `json:"zone_cost_ns" cbor:"8,keyasint"`
}

// maxCandidates limits the targets of an Explanation.
const maxCandidates = 10

// Explain implements LeastCost.
func (s *leastCost) Explain(now time.Time, r Request) Explanation {
	if r.SoftDeadline.IsZero() {
		r.SoftDeadline = r.Deadline
	}
	a := &leastCostAttempt{Request: r, submitted: now}
	s.place(now, a)
	e := Explanation{Queued: len(s.waiting), Wait: s.drainTime(a)}
	rd := s.newRound(now)
	for _, t := range s.order {
		if !t.usable() {
			continue
		}
		e.Targets++
		risk := s.riskFor(rd, a, t)
		e.Candidates = append(e.Candidates, Candidate{
			Name: t.Name, AvailabilityZone: t.AvailabilityZone, State: string(t.state), Free: t.free(now), Slots: t.Slots,
			Risk: risk, Cost: s.cost(a, t, risk), ZoneCost: s.zoneCost(a, t),
		})
	}
	slices.SortStableFunc(e.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(min(b.Free, 1), min(a.Free, 1)), cmp.Compare(a.Cost, b.Cost))
	})
	s.decide(rd, a, &e)
	e.Candidates = e.Candidates[:min(len(e.Candidates), maxCandidates)]
	return e
}

// decide fills in the decision of an Explanation. It changes nothing: the random numbers
// are not those of real attempts.
func (s *leastCost) decide(rd *round, a *leastCostAttempt, e *Explanation) {
	if refusal, ok := s.admit(rd.now, a); !ok {
		e.Refused = refusal.Reason
		e.Why = fmt.Sprintf("it is refused at once: %s; the work that goes first takes %s", refusal.Reason, e.Wait.Round(time.Millisecond))
		return
	}
	if i := slices.IndexFunc(s.waiting, func(o *leastCostAttempt) bool { return o.goesBefore(a) }); i >= 0 {
		e.Why = fmt.Sprintf("it waits behind others, about %s", e.Wait.Round(time.Millisecond))
		return
	}
	rng := s.rng
	s.rng = rand.New(rand.NewPCG(1, 1))
	defer func() { s.rng = rng }()
	t := s.choose(rd, a)
	switch {
	case t == nil && rd.zoneWaits[a.AvailabilityZone]:
		e.Why = fmt.Sprintf("it waits for a target of its zone until %s: its answer is large, and another zone costs %s",
			s.zoneWaitUntil(a, s.transferCost(a)).Sub(rd.now).Round(time.Millisecond), (crossingCost + s.transferCost(a)).Round(time.Millisecond))
	case t == nil:
		e.Why = "it waits: no target is free that is trusted enough"
	default:
		e.Target = t.Name
		e.Why = s.whyChosen(rd, a, t)
	}
}

// whyChosen returns why t is chosen for a.
func (s *leastCost) whyChosen(rd *round, a *leastCostAttempt, t *leastCostTarget) string {
	risk := s.riskFor(rd, a, t)
	why := fmt.Sprintf("it costs least: risk of failure %.3f, latency %.1f times the usual %s", risk, t.slowness, s.latency(a.Route).Round(time.Millisecond))
	if rd.now.Sub(t.lastUsed) >= t.spreadInterval() && s.spreadDue(rd, a.retryable(), s.spreadLimit(rd.now, a)) {
		why = "too few targets are in use, and it has not been used yet"
		if !t.lastUsed.IsZero() {
			why = fmt.Sprintf("too few targets are in use, and it was idle for %s", rd.now.Sub(t.lastUsed).Round(time.Millisecond))
		}
	}
	if cost := s.zoneCost(a, t); cost > 0 {
		why += fmt.Sprintf("; it is in another zone, which is worth %s", cost.Round(time.Millisecond))
	}
	return why
}
