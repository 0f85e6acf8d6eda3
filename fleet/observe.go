package fleet

import "time"

const (
	// firstAvoidance is the duration after a first failure; each consecutive
	// failure doubles it, up to maxAvoidance.
	firstAvoidance = 2 * time.Second
	maxAvoidance   = 30 * time.Second
	// failureMemory is the time without a failure after which the duration
	// starts again at firstAvoidance.
	failureMemory = 5 * time.Minute
)

// avoidance records the failures of one member to respond to this node's
// requests.
type avoidance struct {
	// failures counts consecutive failures, and last is when the latest one
	// was recorded.
	failures int
	// until is when the avoidance expires; it is zero if the member is not
	// avoided.
	until time.Time
	last  time.Time
}

// avoidances holds the avoidances of this node by member. Other nodes do not
// learn of them, because the fault may be in the link between two nodes.
type avoidances map[string]avoidance

// recordFailure records that a member did not respond. Each consecutive failure
// doubles the time for which the member is avoided. A failure while the member
// is already avoided does not count, so that the failures of concurrent
// requests count once.
func (o avoidances) recordFailure(name string, now time.Time) {
	av := o[name]
	if now.Before(av.until) {
		return
	}
	if now.Sub(av.last) > failureMemory {
		av.failures = 0
	}
	d := min(firstAvoidance<<min(av.failures, 10), maxAvoidance)
	av.failures++
	av.last = now
	av.until = now.Add(d)
	o[name] = av
}

// due returns the members whose avoidance has expired. They stay avoided until
// release is called, so that no request is used to test them.
func (o avoidances) due(now time.Time) []string {
	var out []string
	for name, av := range o {
		if !av.until.IsZero() && !now.Before(av.until) {
			out = append(out, name)
		}
	}
	return out
}

// release ends the avoidance of a member that responded. It deletes the record
// if the last failure is longer ago than failureMemory.
func (o avoidances) release(name string, now time.Time) {
	av, ok := o[name]
	if !ok {
		return
	}
	if now.Sub(av.last) > failureMemory {
		delete(o, name)
		return
	}
	av.until = time.Time{}
	o[name] = av
}

// avoided returns the set of members that are avoided now.
func (o avoidances) avoided() map[string]bool {
	out := make(map[string]bool)
	for name, av := range o {
		if !av.until.IsZero() {
			out[name] = true
		}
	}
	return out
}
