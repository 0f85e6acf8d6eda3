package routing

import (
	"strings"

	"filbertmill.example/config/dynamic"
)

// prefixes finds the route with the longest prefix among the routes of a host.
// The work grows with the segments of the path and not with the routes.
type prefixes struct {
	// routes is indexed by the prefix without the slash at its end.
	routes map[string]*dynamic.Route
	// longest is the length of the longest prefix in bytes.
	longest int
}

// add takes a route. Of several routes with one prefix, the one whose prefix
// is written with a slash at the end counts, else the first.
func (p *prefixes) add(r *dynamic.Route) {
	prefix := strings.TrimSuffix(r.PathPrefix, "/")
	old := p.routes[prefix]
	if old != nil && len(old.PathPrefix) >= len(r.PathPrefix) {
		return
	}
	p.routes[prefix] = r
	p.longest = max(p.longest, len(prefix))
}

// match returns the route whose prefix holds the most whole segments of path,
// or nil.
func (p *prefixes) match(path string) *dynamic.Route {
	if p == nil {
		return nil
	}
	if len(path) <= p.longest {
		if r := p.routes[path]; r != nil && !r.OnlyBelow {
			return r
		}
	}
	for end := p.lastSlash(path, len(path)); end >= 0; end = p.lastSlash(path, end) {
		if r := p.routes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// lastSlash returns the place of the last slash of path before end at which a
// prefix may end, or -1.
func (p *prefixes) lastSlash(path string, end int) int {
	return strings.LastIndexByte(path[:min(end, p.longest+1)], '/')
}
