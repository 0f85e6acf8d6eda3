package node

import (
	"net"
	"strings"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/outcome"
)

// anyHost is the host pattern that matches every host.
const anyHost = "*"

// routeTable finds the route of a request. It is immutable.
type routeTable struct {
	// configured says that a configuration is in force, if only an empty one.
	configured bool
	byHost     map[string]*prefixes
	byName     map[string]*dynamic.Route
	services   map[string]*dynamic.Service
	targets    map[string]*dynamic.Target
}

// newRouteTable indexes a configuration.
func newRouteTable(cfg *dynamic.Config) *routeTable {
	t := &routeTable{
		configured: true,
		byHost:     make(map[string]*prefixes),
		byName:     make(map[string]*dynamic.Route, len(cfg.Routes)),
		services:   make(map[string]*dynamic.Service),
		targets:    make(map[string]*dynamic.Target),
	}
	for i := range cfg.Targets {
		t.targets[cfg.Targets[i].Name] = &cfg.Targets[i]
	}
	for i := range cfg.Services {
		t.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Routes {
		t.addRoute(&cfg.Routes[i])
	}
	return t
}

func (t *routeTable) addRoute(r *dynamic.Route) {
	t.byName[r.Name] = r
	host := strings.ToLower(r.Host)
	if t.byHost[host] == nil {
		t.byHost[host] = &prefixes{routes: make(map[string]*dynamic.Route)}
	}
	t.byHost[host].add(r)
}

// match returns the route with the longest prefix among those of the host, or
// else among those of any host; nil if none matches.
func (t *routeTable) match(host, path string) *dynamic.Route {
	if r := t.byHost[hostName(host)].match(path); r != nil {
		return r
	}
	return t.byHost[anyHost].match(path)
}

// hostName returns the host name of a Host header, without the port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// route returns the route with the given name, or nil.
func (t *routeTable) route(name string) *dynamic.Route { return t.byName[name] }

// endpoint returns where a service's target listens and its probe path. It does
// not say how many slots the target has, since only its home sends it work.
func (t *routeTable) endpoint(service, target string) (at endpoint, path string, ok bool) {
	svc, tgt := t.services[service], t.targets[target]
	if svc == nil || tgt == nil || tgt.Service != service {
		return endpoint{}, "", false
	}
	return endpoint{address: tgt.Address}, svc.ProbePath, true
}

// noRoute says why the table has no route for a request.
func (t *routeTable) noRoute(detail string) result {
	if !t.configured {
		return refused(outcome.ReasonNoConfiguration, "")
	}
	return refused(outcome.ReasonNoRoute, detail)
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
