package routing

import (
	"strings"

	"filbertmill.example/config/dynamic"
)

// prefixes finds the route with the longest matching prefix among the routes of a
// host. The cost of a lookup grows with the number of segments of the path, not
// with the number of routes.
type prefixes struct {
	// routes holds the routes by their prefix without the slash at its end.
	routes map[string]*dynamic.Route
	// longest is the length of the longest key of routes, in bytes.
	longest int
}

// add adds a route. Of several routes with the same key, the one whose prefix is
// written with a slash at the end is kept, or else the first.
func (p *prefixes) add(r *dynamic.Route) {
	prefix := strings.TrimSuffix(r.PathPrefix, "/")
	old := p.routes[prefix]
	if old != nil && len(old.PathPrefix) >= len(r.PathPrefix) {
		return
	}
	p.routes[prefix] = r
	p.longest = max(p.longest, len(prefix))
}

// match returns the route whose prefix covers the most whole segments of path,
// or nil if no prefix matches.
func (p *prefixes) match(path string) *dynamic.Route {
	if p == nil {
		return nil
	}
	if len(path) <= p.longest {
		if r := p.routes[path]; r != nil && !r.RequireSlash {
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

// lastSlash returns the index of the last slash of path before end at which a
// prefix may end, or -1.
func (p *prefixes) lastSlash(path string, end int) int {
	return strings.LastIndexByte(path[:min(end, p.longest+1)], '/')
}
