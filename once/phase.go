package once

import "github.com/qmuntal/stateless"

// phase is the phase of a home's attempt to get the tenure.
type phase string

const (
	// phaseIdle means that the home holds no tenure and does not try to get it.
	phaseIdle phase = "idle"
	// phaseReading means that it reads the record.
	phaseReading phase = "reading"
	// phaseClaiming means that it writes a higher epoch to the record.
	phaseClaiming phase = "claiming"
	// phaseSealing means that it takes over the copy of an old witness.
	phaseSealing phase = "sealing"
	// phaseEnlisting means that it looks for witnesses.
	phaseEnlisting phase = "enlisting"
	// phaseInstalling means that it sends the witnesses its copy.
	phaseInstalling phase = "installing"
	// phaseConfirming means that it writes the witnesses to the record.
	phaseConfirming phase = "confirming"
	// phaseActive means that it holds the tenure and may dispatch.
	phaseActive phase = "active"
)

// trigger moves a home from one phase to another.
type trigger string

const (
	triggerStart     trigger = "want"
	triggerRead      trigger = "read"
	triggerClaimed   trigger = "claimed"
	triggerComplete  trigger = "complete"
	triggerEnlisted  trigger = "enlisted"
	triggerInstalled trigger = "installed"
	triggerConfirmed trigger = "confirmed"
	triggerStop      trigger = "stop"
)

// newPhaseMachine returns a state machine in phaseIdle. An active home reads the
// record for a renewal in phaseActive, and then moves directly to phaseClaiming.
func newPhaseMachine() *stateless.StateMachine {
	m := stateless.NewStateMachine(phaseIdle)
	m.Configure(phaseIdle).
		Permit(triggerStart, phaseReading).
		Ignore(triggerStop)
	m.Configure(phaseReading).
		Permit(triggerRead, phaseClaiming).
		Permit(triggerStop, phaseIdle)
	m.Configure(phaseClaiming).
		Permit(triggerClaimed, phaseSealing).
		Permit(triggerComplete, phaseEnlisting).
		Permit(triggerStop, phaseIdle)
	m.Configure(phaseSealing).
		Permit(triggerComplete, phaseEnlisting).
		Permit(triggerStop, phaseIdle)
	m.Configure(phaseEnlisting).
		Permit(triggerEnlisted, phaseInstalling).
		Permit(triggerStop, phaseIdle)
	m.Configure(phaseInstalling).
		Permit(triggerInstalled, phaseConfirming).
		Permit(triggerStop, phaseIdle)
	m.Configure(phaseConfirming).
		Permit(triggerConfirmed, phaseActive).
		Permit(triggerStop, phaseIdle)
	m.Configure(phaseActive).
		Permit(triggerRead, phaseClaiming).
		Permit(triggerStop, phaseIdle)
	return m
}

// in reports whether the home is in a phase.
func (h *Home) in(p phase) bool {
	return h.phase.MustState() == p
}

// active reports whether the home may claim keys.
func (h *Home) active() bool {
	return h.in(phaseActive)
}

// fire applies a trigger. A trigger that the home's phase does not permit is a bug
// in this package, so fire panics.
func (h *Home) fire(t trigger) {
	if err := h.phase.Fire(t); err != nil {
		panic("once: " + err.Error())
	}
}

// Phase returns the name of the phase that the home is in, for status pages.
func (h *Home) Phase() string {
	return string(h.phase.MustState().(phase))
}
