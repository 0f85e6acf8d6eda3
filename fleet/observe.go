package fleet

import "time"

const (
	firstAvoidance = 2 * time.Second
	maxAvoidance   = 30 * time.Second
	// failureMemory is how long the length of the last avoidance counts.
	failureMemory = 5 * time.Minute
)

// avoidance is what this node itself saw of a member on the data path.
type avoidance struct {
	failures int
	until    time.Time
	last     time.Time
}

// avoidances hold the members that this node avoids because they did not
// respond to it. They are nobody else's business: the link may be at fault.
type avoidances map[string]avoidance

// recordFailure records an unresponsive member. Each failure in a row doubles the time
// for which it is avoided; failures of requests in flight together count once.
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

// due returns the avoided members whose time is over. They stay avoided until
// release, so that no request has to find out.
func (o avoidances) due(now time.Time) []string {
	var out []string
	for name, av := range o {
		if !av.until.IsZero() && !now.Before(av.until) {
			out = append(out, name)
		}
	}
	return out
}

// release ends the avoidance of a member that responded, and forgets members
// that have not failed for long.
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

// avoided returns the set of members avoided now.
func (o avoidances) avoided() map[string]bool {
	out := make(map[string]bool)
	for name, av := range o {
		if !av.until.IsZero() {
			out[name] = true
		}
	}
	return out
}
