package pool

import (
	"slices"
	"time"

	"github.com/qmuntal/stateless"
)

// target is what the home knows of one target.
type target struct {
	Target
	state   State
	machine *stateless.StateMachine
	// since is when the present state began.
	stateSince time.Time
	// listed says that the latest list of targets names it.
	listed  bool
	running map[RequestID]*attempt
	limit   limit

	// samples is the evidence on its work, oldest first.
	samples []sample
	// dirty says that the evidence has to be looked at.
	dirty bool
	// suspectedAt is when the evidence last made it a suspect.
	suspectedAt time.Time
	// held says that only the floor keeps it from ejection; holdNoted is when
	// that or a common cause was last recorded.
	heldByFloor    bool
	holdReportedAt time.Time

	reachability reachability
	ejection     ejection
	probation    probation
	// good is the number of whole answers while cold, slow the log likelihood
	// ratio of them being slow.
	coldAnswers   int
	coldSlowScore float64
	// firstLook says that the first probe of a new target has not been answered.
	awaitsInitialProbe bool
	// ownSignal is when the target last announced that it is leaving.
	announcedLeaving time.Time
}

// newTarget returns a target in the given state.
func newTarget(now time.Time, listed Target, state State) *target {
	t := &target{
		Target:     listed,
		state:      state,
		stateSince: now,
		listed:     true,
		running:    make(map[RequestID]*attempt),
		limit:      limit{slots: listed.Slots},
	}
	t.machine = newMachine(&t.state)
	if state == StateCold {
		t.startRamp(now)
	}
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

// free returns the number of slots that an attempt could take now.
func (t *target) free(now time.Time) int {
	if now.Before(t.limit.pausedUntil) {
		return 0
	}
	return max(0, t.capacity()-t.inFlight())
}

// ramp has the target begin with one slot.
func (t *target) startRamp(now time.Time) {
	t.limit.slots = min(1, t.Slots)
	t.limit.raiseAt = now.Add(time.Second)
	t.coldAnswers = 0
	t.coldSlowScore = 0
}

// addSample keeps s, dropping the oldest sample when there are too many.
func (t *target) addSample(s sample) {
	if len(t.samples) >= sampleLimit {
		t.samples = slices.Delete(t.samples, 0, 1)
	}
	t.samples = append(t.samples, s)
}

// discharge drops the evidence of an attempt that was still running.
func (t *target) dropRunningSample(a *attempt) {
	if a.runningCategory == categoryNone {
		return
	}
	t.samples = slices.DeleteFunc(t.samples, func(s sample) bool { return s.unfinished && s.id == a.ID })
}

// evidence returns the samples that are not too old.
func (t *target) freshSamples(now time.Time) []sample {
	for i, s := range t.samples {
		if now.Sub(s.at) < sampleAge {
			return t.samples[i:]
		}
	}
	return nil
}

// samplesSince returns the samples taken since the given time.
func (t *target) samplesSince(since time.Time) []sample {
	for i, s := range t.samples {
		if !s.at.Before(since) {
			return t.samples[i:]
		}
	}
	return nil
}

// lastSample returns when evidence was last added.
func (t *target) lastSampleTime() time.Time {
	if len(t.samples) == 0 {
		return t.stateSince
	}
	return t.samples[len(t.samples)-1].at
}
