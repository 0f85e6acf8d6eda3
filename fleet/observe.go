package fleet

import "time"

const (
	firstAvoidance = 2 * time.Second
	maxAvoidance   = 30 * time.Second
	// failureMemory is how long the length of the last avoidance counts.
	failureMemory = 5 * time.Minute
)

// observation is what this node itself saw of a member on the data path.
type observation struct {
	failures int
	until    time.Time
	last     time.Time
}

// observations hold the members that this node avoids because they did not
// respond to it. They are nobody else's business: the link may be at fault.
type observations map[string]observation

// fail records an unresponsive member. Each failure in a row doubles the time
// for which it is avoided; failures of requests in flight together count once.
func (o observations) fail(name string, now time.Time) {
	ob := o[name]
	if now.Before(ob.until) {
		return
	}
	if now.Sub(ob.last) > failureMemory {
		ob.failures = 0
	}
	d := min(firstAvoidance<<min(ob.failures, 10), maxAvoidance)
	ob.failures++
	ob.last = now
	ob.until = now.Add(d)
	o[name] = ob
}

// due returns the avoided members whose time is over. They stay avoided until
// release, so that no request has to find out.
func (o observations) due(now time.Time) []string {
	var out []string
	for name, ob := range o {
		if !ob.until.IsZero() && !now.Before(ob.until) {
			out = append(out, name)
		}
	}
	return out
}

// release ends the avoidance of a member that responded, and forgets members
// that have not failed for long.
func (o observations) release(name string, now time.Time) {
	ob, ok := o[name]
	if !ok {
		return
	}
	if now.Sub(ob.last) > failureMemory {
		delete(o, name)
		return
	}
	ob.until = time.Time{}
	o[name] = ob
}

// avoided returns the set of members avoided now.
func (o observations) avoided() map[string]bool {
	out := make(map[string]bool)
	for name, ob := range o {
		if !ob.until.IsZero() {
			out[name] = true
		}
	}
	return out
}
