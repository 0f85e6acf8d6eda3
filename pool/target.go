package pool

import (
	"slices"
	"time"

	"github.com/qmuntal/stateless"
)

// target is the state that the home keeps about one target.
type target struct {
	Target
	state   State
	machine *stateless.StateMachine
	// stateSince is when the current state began.
	stateSince time.Time
	// listed is set if the latest list of targets names the target.
	listed  bool
	running map[RequestID]*attempt
	limit   limit

	// samples is the evidence from its requests, oldest first.
	samples []sample
	// dirty is set if there is evidence that was not evaluated yet.
	dirty bool
	// suspectedAt is when evidence last made or kept the target suspected.
	suspectedAt time.Time
	// heldByFloor is set if only the floor keeps the target from ejection.
	// holdReportedAt is when that or a common cause was last recorded.
	heldByFloor    bool
	holdReportedAt time.Time

	reachability reachability
	ejection     ejection
	probation    probation
	// coldAnswers is the number of complete answers while cold, and coldSlowScore the
	// log likelihood ratio of them being slow.
	coldAnswers   int
	coldSlowScore float64
	// awaitsInitialProbe is set until the first probe of a new target is answered.
	awaitsInitialProbe bool
	// announcedLeaving is when the target last announced that it is leaving.
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

// inFlight returns the number of attempts that were started and have not finished.
func (t *target) inFlight() int { return len(t.running) }

// capacity returns the number of slots that may be used now, whatever the state.
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

// startRamp limits the target to one slot, from which the limit rises.
func (t *target) startRamp(now time.Time) {
	t.limit.slots = min(1, t.Slots)
	t.limit.raiseAt = now.Add(time.Second)
	t.coldAnswers = 0
	t.coldSlowScore = 0
}

// addSample adds s, and drops the oldest sample if there are too many.
func (t *target) addSample(s sample) {
	if len(t.samples) >= sampleLimit {
		t.samples = slices.Delete(t.samples, 0, 1)
	}
	t.samples = append(t.samples, s)
}

// dropRunningSample drops the sample that was recorded while the attempt was running.
func (t *target) dropRunningSample(a *attempt) {
	if a.runningCategory == categoryNone {
		return
	}
	t.samples = slices.DeleteFunc(t.samples, func(s sample) bool { return s.unfinished && s.id == a.ID })
}

// freshSamples returns the samples that are not older than sampleAge.
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

// lastSampleTime returns when a sample was last added.
func (t *target) lastSampleTime() time.Time {
	if len(t.samples) == 0 {
		return t.stateSince
	}
	return t.samples[len(t.samples)-1].at
}
