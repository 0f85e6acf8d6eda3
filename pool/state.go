package pool

import (
	"context"

	"github.com/qmuntal/stateless"
)

// State is the state of a target.
type State string

// The states of a target.
const (
	// StateCold means that the target is new and may use a growing part of its slots.
	StateCold State = "cold"
	// StateServing means that the target is in normal service.
	StateServing State = "serving"
	// StateSuspected means that the target gets only requests that others cannot take.
	StateSuspected State = "suspected"
	// StateProbation means that the target gets single idempotent requests.
	StateProbation State = "probation"
	// StateEjected means that the target gets no requests.
	StateEjected State = "ejected"
	// StateDraining means that the target is leaving and finishes its requests.
	StateDraining State = "draining"
	// StateGone means that the target has left.
	StateGone State = "gone"
)

// trigger is an input of a target's state machine.
type trigger string

const (
	triggerWarm           trigger = "warm"
	triggerSuspect        trigger = "suspect"
	triggerClear          trigger = "clear"
	triggerEject          trigger = "eject"
	triggerStartProbation trigger = "try"
	triggerRestore        trigger = "restore"
	triggerAbsolve        trigger = "absolve"
	triggerLeave          trigger = "leave"
	triggerRejoin         trigger = "rejoin"
	triggerFinished       trigger = "finished"
)

// newMachine returns the state machine of a target whose state is kept in *s.
func newMachine(s *State) *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return *s, nil },
		func(_ context.Context, next stateless.State) error {
			*s = next.(State)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(StateCold).
		Permit(triggerWarm, StateServing).
		Permit(triggerSuspect, StateSuspected).
		Permit(triggerEject, StateEjected).
		Permit(triggerLeave, StateDraining)
	m.Configure(StateServing).
		Permit(triggerSuspect, StateSuspected).
		Permit(triggerEject, StateEjected).
		Permit(triggerLeave, StateDraining)
	m.Configure(StateSuspected).
		Permit(triggerClear, StateServing).
		Permit(triggerAbsolve, StateServing).
		Permit(triggerEject, StateEjected).
		Permit(triggerLeave, StateDraining)
	m.Configure(StateEjected).
		Permit(triggerStartProbation, StateProbation).
		Permit(triggerAbsolve, StateServing).
		Permit(triggerLeave, StateDraining)
	m.Configure(StateProbation).
		Permit(triggerRestore, StateServing).
		Permit(triggerEject, StateEjected).
		Permit(triggerLeave, StateDraining)
	m.Configure(StateDraining).
		Permit(triggerRejoin, StateCold).
		Permit(triggerFinished, StateGone)
	m.Configure(StateGone).
		Permit(triggerRejoin, StateCold)
	return m
}
