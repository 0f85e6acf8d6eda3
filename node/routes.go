package node

import (
	"filbertmill.example/config/dynamic"
	"filbertmill.example/config/routing"
	"filbertmill.example/outcome"
)

// routeTable finds the route of a request. It is immutable.
type routeTable struct {
	// configured is set if a configuration is in force, even an empty one.
	configured bool
	table      *routing.Table
	byName     map[string]*dynamic.Route
	services   map[string]*dynamic.Service
	targets    map[string]*dynamic.Target
}

// newRouteTable indexes a configuration.
func newRouteTable(cfg *dynamic.Config) *routeTable {
	t := &routeTable{
		configured: true,
		table:      routing.NewTable(cfg),
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
		t.byName[cfg.Routes[i].Name] = &cfg.Routes[i]
	}
	return t
}

// match returns the route of a request, or nil.
func (t *routeTable) match(host, path string) *dynamic.Route {
	if t.table == nil {
		return nil
	}
	return t.table.Match(host, path)
}

// route returns the route with the given name, or nil.
func (t *routeTable) route(name string) *dynamic.Route { return t.byName[name] }

// endpoint returns the address and the probe path of a service's target. The
// endpoint has no slots, since only the service's home sends requests there.
func (t *routeTable) endpoint(service, target string) (at endpoint, path string, ok bool) {
	svc, tgt := t.services[service], t.targets[target]
	if svc == nil || tgt == nil || tgt.Service != service {
		return endpoint{}, "", false
	}
	return endpoint{address: tgt.Address}, svc.ProbePath, true
}

// noRoute returns the result for a request without a route in the table.
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
