package pool

import (
	"time"

	"github.com/qmuntal/stateless"
)

// target is what the home knows of one target.
type target struct {
	Target
	state   State
	machine *stateless.StateMachine
	// since is when the present state began.
	since time.Time
	// listed says that the latest list of targets names it.
	listed  bool
	running map[RequestID]*attempt
	limit   limit
}

// newTarget returns a target in the given state.
func newTarget(now time.Time, listed Target, state State) *target {
	t := &target{
		Target:  listed,
		state:   state,
		since:   now,
		listed:  true,
		running: make(map[RequestID]*attempt),
		limit:   limit{slots: listed.Slots},
	}
	t.machine = newMachine(&t.state)
	return t
}

// inFlight returns the number of attempts started and not finished.
func (t *target) inFlight() int { return len(t.running) }

// capacity returns the slots that may be used now, whatever the state.
func (t *target) capacity() int {
	c := min(t.Slots, t.limit.slots)
	if t.Connections > 0 {
		c = min(c, t.Connections)
	}
	return c
}
