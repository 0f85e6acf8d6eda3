package pool

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertmill.example/event"
)

// model calls a home at random and checks its invariants after each call.
type model struct {
	t       *rapid.T
	home    *home
	rng     *rand.Rand
	now     time.Time
	nextID  RequestID
	waiting map[RequestID]Request
	running map[RequestID]string
	listed  []Target
	// bad is the number of targets that fail most of their work.
	bad         int
	ejected     int
	heldByFloor int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: epoch,
		waiting: make(map[RequestID]Request),
		running: make(map[RequestID]string),
	}
	m.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "choices"), 0))
	n := rapid.IntRange(2, 8).Draw(t, "targets")
	m.bad = rapid.IntRange(0, n).Draw(t, "bad")
	for i := range n {
		m.listed = append(m.listed, Target{Name: fmt.Sprint("t", i), Slots: rapid.IntRange(1, 3).Draw(t, "slots")})
	}
	cfg := Config{
		FloorSlots:   rapid.IntRange(0, 2*n).Draw(t, "floor"),
		EjectionTime: 200 * time.Millisecond,
	}
	m.home = NewHome(cfg, m, rapid.Uint64().Draw(t, "seed")).(*home)
	m.home.SetTargets(m.now, m.listed)
	return m
}

func (m *model) Start(id RequestID, name string) {
	r, ok := m.waiting[id]
	if !ok {
		m.t.Fatalf("attempt %d started twice or after its end", id)
	}
	delete(m.waiting, id)
	m.running[id] = name
	target := m.home.targets[name]
	switch target.state {
	case StateEjected, StateDraining, StateGone:
		m.t.Fatalf("attempt %d started on a target that is %s", id, target.state)
	case StateProbation:
		if !r.Idempotent {
			m.t.Fatalf("attempt %d is not idempotent and started on probation", id)
		}
	}
	if slices.Contains(r.Exclude, name) {
		m.t.Fatalf("attempt %d started on an excluded target", id)
	}
}

func (m *model) Refuse(id RequestID, _ Refusal) {
	if _, ok := m.waiting[id]; !ok {
		m.t.Fatalf("attempt %d refused twice or after its end", id)
	}
	delete(m.waiting, id)
}

func (m *model) Probe(string, Origin) {}

func (m *model) Event(e event.Event) {
	if e.Rule == "" || e.Kind == "" {
		m.t.Fatalf("event without rule or kind: %+v", e)
	}
	switch e.Kind {
	case event.KindEjection:
		m.ejected++
		if healthy := m.healthy(); healthy < m.home.cfg.FloorSlots {
			m.t.Fatalf("ejection of %s by %s leaves %d healthy slots of %d", e.Target, e.Rule, healthy, m.home.cfg.FloorSlots)
		}
	case event.KindFloorHeld:
		m.heldByFloor++
	}
}

// sampled returns a random one of the values.
func sampled[T any](m *model, values []T) T { return values[m.rng.IntN(len(values))] }

// healthy counts the healthy slots independently, from the states of the targets.
func (m *model) healthy() int {
	n := 0
	for _, t := range m.home.targets {
		if t.state == StateServing && t.listed {
			n += min(t.Slots, t.limit.slots)
		}
	}
	return n
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(m.rng.IntN(61)) * time.Millisecond)
	switch m.rng.IntN(10) {
	case 0, 1, 2:
		m.submit()
	case 3, 4, 5, 6:
		m.finish()
	case 7:
		m.home.Tick(m.now)
	case 8:
		m.observe()
	default:
		if m.rng.IntN(10) == 0 {
			m.rare()
		}
	}
	m.checkSlots()
}

func (m *model) submit() {
	m.nextID++
	r := Request{
		ID:         m.nextID,
		Route:      sampled(m, []string{"a", "b"}),
		Caller:     sampled(m, []string{"", "x", "y"}),
		Idempotent: m.rng.IntN(2) == 0,
		Deadline:   m.now.Add(time.Duration(m.rng.IntN(2001)) * time.Millisecond),
	}
	if m.rng.IntN(5) == 0 {
		r.Exclude = []string{m.listed[0].Name}
	}
	m.waiting[r.ID] = r
	m.home.Submit(m.now, r)
}

// finish ends a running attempt. On bad targets every second one ends with a random
// verdict, on others one in 51.
func (m *model) finish() {
	ids := slices.Sorted(maps.Keys(m.running))
	if len(ids) == 0 {
		return
	}
	id := sampled(m, ids)
	verdict := VerdictAnswered
	answersPerFailure := 50
	if m.running[id] < fmt.Sprint("t", m.bad) {
		answersPerFailure = 1
	}
	if m.rng.IntN(answersPerFailure+1) == 0 {
		verdict = Verdict(m.rng.IntN(int(VerdictCancelled) + 1))
	}
	delete(m.running, id)
	m.home.Finish(m.now, id, Result{
		Verdict: verdict,
		Latency: m.now.Sub(m.home.running[id].started),
		Leaving: m.rng.IntN(501) == 0,
	})
}

func (m *model) observe() {
	m.home.Observe(m.now, Observation{
		Target:    sampled(m, m.listed).Name,
		Origin:    Origin(m.rng.IntN(2)),
		Reachable: m.rng.IntN(4) > 0,
		Leaving:   m.rng.IntN(101) == 0,
	})
}

// rare makes one of the calls that are rare in production.
func (m *model) rare() {
	switch m.rng.IntN(3) {
	case 0:
		ids := slices.Sorted(maps.Keys(m.waiting))
		if len(ids) > 0 {
			id := sampled(m, ids)
			delete(m.waiting, id)
			m.home.Cancel(m.now, id)
		}
	case 1:
		name := sampled(m, m.listed).Name
		m.home.Absolve(m.now, name, m.now.Add(-time.Second))
	default:
		listed := slices.Clone(m.listed)
		i := m.rng.IntN(len(listed))
		listed[i].Leaving = m.rng.IntN(2) == 0
		if m.rng.IntN(4) == 0 {
			listed = slices.Delete(listed, i, i+1)
		}
		m.home.SetTargets(m.now, listed)
	}
}

// checkSlots checks that no target runs more attempts than it has slots.
func (m *model) checkSlots() {
	inFlight := make(map[string]int)
	for _, name := range m.running {
		inFlight[name]++
	}
	for _, s := range m.home.Snapshot(m.now).Targets {
		if inFlight[s.Name] > s.Slots || inFlight[s.Name] != s.InFlight {
			m.t.Fatalf("%s holds %d attempts, counts %d, has %d slots", s.Name, inFlight[s.Name], s.InFlight, s.Slots)
		}
	}
}

func TestFloorAndSlotsHoldAfterEveryCall(t *testing.T) {
	ejected, heldByFloor := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range 800 {
			m.step()
		}
		ejected += m.ejected
		heldByFloor += m.heldByFloor
	})
	t.Logf("%d ejections, %d withheld by the floor", ejected, heldByFloor)
	if ejected == 0 || heldByFloor == 0 {
		t.Errorf("nothing was tried: %d ejections, %d withheld", ejected, heldByFloor)
	}
}
