package pool

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"filbertmill.example/event"
	"filbertmill.example/outcome"
)

// RuleConsecutiveErrors names the rule by which the direct variant ejects.
const RuleConsecutiveErrors = "consecutive_errors"

// directTarget is what one node knows about a target from its own attempts.
type directTarget struct {
	Target
	inFlight     int
	errors       int
	leaving      bool
	ejectedUntil time.Time
}

// direct is the baseline variant: each node balances its own attempts over all
// targets.
type direct struct {
	cfg      Config
	delegate Delegate
	rng      *rand.Rand
	targets  []*directTarget
	running  map[RequestID]*directTarget
}

// NewDirect returns a Scheduler that takes the less loaded of two targets
// chosen at random, counting only its own attempts, and has no queue. It ejects a
// target for a fixed time after a fixed number of consecutive errors.
func NewDirect(cfg Config, d Delegate, seed uint64) Scheduler {
	return &direct{
		cfg:      cfg.withDefaults(),
		delegate: d,
		rng:      rand.New(rand.NewPCG(seed, 0)),
		running:  make(map[RequestID]*directTarget),
	}
}

func (s *direct) SetConfig(_ time.Time, cfg Config) {
	s.cfg = cfg.withDefaults()
}

func (s *direct) SetTargets(_ time.Time, targets []Target) {
	next := make([]*directTarget, 0, len(targets))
	for _, listed := range targets {
		t := s.find(listed.Name)
		if t == nil {
			t = &directTarget{}
		}
		t.Target = listed
		t.leaving = listed.Leaving
		next = append(next, t)
	}
	slices.SortFunc(next, func(a, b *directTarget) int { return strings.Compare(a.Name, b.Name) })
	s.targets = next
}

func (s *direct) Submit(now time.Time, r Request) {
	if !r.Deadline.After(now) {
		s.delegate.Refuse(r.ID, Refusal{Reason: outcome.ReasonTooLate})
		return
	}
	t := s.choose(now, r)
	if t == nil {
		s.delegate.Refuse(r.ID, Refusal{Reason: outcome.ReasonNoTarget, RetryAfter: time.Second})
		return
	}
	t.inFlight++
	s.running[r.ID] = t
	s.delegate.Start(r.ID, t.Name)
}

// choose returns the less loaded of two fit targets, or nil. If all fit targets
// are ejected, it takes one of those.
func (s *direct) choose(now time.Time, r Request) *directTarget {
	var fit, ejected []*directTarget
	for _, t := range s.targets {
		switch {
		case t.leaving, slices.Contains(r.Exclude, t.Name):
		case t.Connections > 0 && t.inFlight >= t.Connections:
		case now.Before(t.ejectedUntil):
			ejected = append(ejected, t)
		default:
			fit = append(fit, t)
		}
	}
	if len(fit) == 0 {
		fit = ejected
	}
	if len(fit) == 0 {
		return nil
	}
	a := fit[s.rng.IntN(len(fit))]
	b := fit[s.rng.IntN(len(fit))]
	if b.inFlight < a.inFlight {
		return b
	}
	return a
}

func (s *direct) Cancel(time.Time, RequestID) {}

func (s *direct) Finish(now time.Time, id RequestID, res Result) {
	t := s.running[id]
	if t == nil {
		return
	}
	delete(s.running, id)
	t.inFlight--
	t.leaving = t.leaving || res.Leaving
	switch res.Verdict {
	case VerdictCancelled, VerdictRefused:
	case VerdictAnswered:
		t.errors = 0
	default:
		t.errors++
		s.ejectIfDue(now, t)
	}
}

// ejectIfDue ejects t after too many consecutive errors.
func (s *direct) ejectIfDue(now time.Time, t *directTarget) {
	if t.errors < s.cfg.DirectErrors {
		return
	}
	s.delegate.Event(event.Event{
		Time:    now,
		Kind:    event.KindEjection,
		Service: s.cfg.Service,
		Target:  t.Name,
		Rule:    RuleConsecutiveErrors,
		From:    string(StateServing),
		To:      string(StateEjected),
		Evidence: event.Evidence{
			Samples:   t.errors,
			Failures:  t.errors,
			Threshold: float64(s.cfg.DirectErrors),
		},
	})
	t.errors = 0
	t.ejectedUntil = now.Add(s.cfg.DirectEjectionTime)
}

func (s *direct) Observe(_ time.Time, o Observation) {
	if t := s.find(o.Target); t != nil && o.Leaving {
		t.leaving = true
	}
}

func (s *direct) Absolve(time.Time, string, time.Time) {}

func (s *direct) Tick(time.Time) {}

func (s *direct) Next() time.Time { return time.Time{} }

func (s *direct) Snapshot(now time.Time) Snapshot {
	snap := Snapshot{Service: s.cfg.Service, FloorSlots: s.cfg.FloorSlots}
	for _, t := range s.targets {
		state := t.state(now)
		if state == StateServing {
			snap.HealthySlots += t.Slots
		}
		snap.Targets = append(snap.Targets, TargetStatus{
			Name:     t.Name,
			State:    string(state),
			Slots:    t.Slots,
			Limit:    t.Connections,
			InFlight: t.inFlight,
		})
	}
	return snap
}

// state returns the State that corresponds to what the baseline knows about t.
func (t *directTarget) state(now time.Time) State {
	switch {
	case t.leaving:
		return StateDraining
	case now.Before(t.ejectedUntil):
		return StateEjected
	default:
		return StateServing
	}
}

func (s *direct) find(name string) *directTarget {
	for _, t := range s.targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}
