package node

import (
	"net"
	"sort"
	"strings"

	"filbertmill.example/config/dynamic"
)

// anyHost is the host pattern that matches every host.
const anyHost = "*"

// routeTable finds the route of a request. It is immutable.
type routeTable struct {
	byHost   map[string][]*dynamic.Route
	services map[string]*dynamic.Service
	targets  map[string]*dynamic.Target
}

// newRouteTable indexes the routes of a configuration, longest prefix first.
func newRouteTable(cfg *dynamic.Config) *routeTable {
	t := &routeTable{
		byHost:   make(map[string][]*dynamic.Route),
		services: make(map[string]*dynamic.Service),
		targets:  make(map[string]*dynamic.Target),
	}
	for i := range cfg.Targets {
		t.targets[cfg.Targets[i].Name] = &cfg.Targets[i]
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool {
			return len(list[i].PathPrefix) > len(list[j].PathPrefix)
		})
	}
	return t
}

// match returns the route with the longest prefix among those of the host, or
// else among those of any host; nil if none matches.
func (t *routeTable) match(host, path string) *dynamic.Route {
	if r := matchPrefix(t.byHost[hostName(host)], path); r != nil {
		return r
	}
	return matchPrefix(t.byHost[anyHost], path)
}

// hostName returns the host name of a Host header, without the port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// route returns the route with the given name, or nil.
func (t *routeTable) route(name string) *dynamic.Route {
	for _, list := range t.byHost {
		for _, r := range list {
			if r.Name == name {
				return r
			}
		}
	}
	return nil
}

// endpoint returns the address of a service's target and its probe path.
func (t *routeTable) endpoint(service, target string) (address, path string, ok bool) {
	svc, tgt := t.services[service], t.targets[target]
	if svc == nil || tgt == nil || tgt.Service != service {
		return "", "", false
	}
	return tgt.Address, svc.ProbePath, true
}

// matchPrefix returns the first route whose prefix holds whole segments of path.
func matchPrefix(list []*dynamic.Route, path string) *dynamic.Route {
	for _, r := range list {
		prefix := strings.TrimSuffix(r.PathPrefix, "/")
		rest, ok := strings.CutPrefix(path, prefix)
		if ok && (rest == "" || rest[0] == '/') {
			return r
		}
	}
	return nil
}

// idempotent reports whether a request of the route may be run more than once.
func idempotent(r *dynamic.Route, method string) bool {
	switch r.Idempotency {
	case dynamic.IdempotentAlways:
		return true
	case dynamic.IdempotentNever:
		return false
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE":
		return true
	}
	return false
}
