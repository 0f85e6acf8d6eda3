package fleet

// View is what a node believes of the fleet at one moment. It is immutable, so
// that traffic reads it without a lock.
type View struct {
	// Self is the node's own name.
	Self string
	// Members are the members that may be homes, by name.
	Members []Member
	// Version is the configuration in force on this node.
	Version Version

	homes   map[string][]Member
	avoided map[string]bool
	ranker  *ranker
}

// Homes returns the nodes to try for a service or shard, in order: its home
// and the successors, those last that did not respond to this node lately. It
// is empty only if no member is known.
func (v *View) Homes(service string) []Member {
	ranks, ok := v.homes[service]
	if !ok {
		ranks = v.ranker.top(service, Successors)
	}
	if len(v.avoided) == 0 {
		return ranks
	}
	out := make([]Member, 0, len(ranks))
	var last []Member
	for _, m := range ranks {
		if v.avoided[m.Name()] {
			last = append(last, m)
			continue
		}
		out = append(out, m)
	}
	return append(out, last...)
}

// Avoids reports whether the node avoids a member that did not respond to it.
func (v *View) Avoids(name string) bool { return v.avoided[name] }

// ServicesHomedAt returns the names of the services and shards whose home is the node.
func (v *View) ServicesHomedAt(name string) []string {
	var out []string
	for service, ranks := range v.homes {
		if ranks[0].Name() == name {
			out = append(out, service)
		}
	}
	return out
}
