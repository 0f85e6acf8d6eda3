package fleet

import "maps"

// buildView computes the homes from the current members and configuration and
// publishes a new View.
func (a *Agent) buildView() {
	a.viewGeneration = a.table.generation
	members := a.table.inState(StateAlive, StateSuspect)
	if len(members) == 0 {
		// A node that is leaving and knows no other member still serves the
		// requests that reach it.
		members = []Member{a.self}
	}
	a.view.Store(&View{
		Self:    a.self.Name(),
		Members: members,
		Version: a.inForce.Load().document.Version,
		homes:   Assign(a.loads, members),
		avoided: a.avoided(),
		ranker:  newRanker(members),
	})
}

// refreshAvoided publishes a View with the current avoided members. It does not
// compute the homes again.
func (a *Agent) refreshAvoided() {
	v := *a.view.Load()
	v.avoided = a.avoided()
	a.view.Store(&v)
}

// avoided returns the members that are tried last: those that did not respond
// to this node, and the suspects, which several members could not reach.
func (a *Agent) avoided() map[string]bool {
	out := a.avoidances.avoided()
	suspects := make(map[string]bool)
	for _, m := range a.table.inState(StateSuspect) {
		suspects[m.Name()] = true
	}
	maps.Copy(out, suspects)
	return out
}
