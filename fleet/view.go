package fleet

// View is a snapshot of the fleet as one node knows it. It is immutable, so that
// requests read it without a lock.
type View struct {
	// Self is the node's own name.
	Self string
	// Members are the members that may be homes, sorted by name.
	Members []Member
	// Version is the version of the configuration in force on this node.
	Version Version

	// homes maps each service or shard to its ranks, home first.
	homes   map[string][]Member
	avoided map[string]bool
	ranker  *ranker
}

// Homes returns the nodes to try for a service or shard, in order: its home and
// then the successors. Members that the node avoids come last. The list is empty
// only if no member is known.
func (v *View) Homes(service string) []Member {
	ranks, ok := v.homes[service]
	if !ok {
		ranks = v.ranker.top(service, MaxRanks)
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

// Avoids reports whether the node avoids a member, because the member did not
// respond to it or is suspected.
func (v *View) Avoids(name string) bool { return v.avoided[name] }

// ServicesHomedAt returns the names of the services and shards whose home is the
// named node.
func (v *View) ServicesHomedAt(name string) []string {
	var out []string
	for service, ranks := range v.homes {
		if ranks[0].Name() == name {
			out = append(out, service)
		}
	}
	return out
}
