// Package routing finds the route of a request: first by host, then by the
// longest prefix of the path.
package routing

import (
	"net"
	"strings"

	"filbertmill.example/config/dynamic"
)

// anyHost is the host pattern that matches every host.
const anyHost = "*"

// Table indexes the routes of one configuration. It is immutable.
type Table struct {
	byHost map[string]*prefixes
}

// NewTable indexes the routes of a configuration.
func NewTable(cfg *dynamic.Config) *Table {
	t := &Table{byHost: make(map[string]*prefixes)}
	for i := range cfg.Routes {
		t.add(&cfg.Routes[i])
	}
	return t
}

func (t *Table) add(r *dynamic.Route) {
	host := strings.ToLower(r.Host)
	if t.byHost[host] == nil {
		t.byHost[host] = &prefixes{routes: make(map[string]*dynamic.Route)}
	}
	t.byHost[host].add(r)
}

// Match returns the route with the longest matching prefix among those of the
// host, or else among those that match any host; nil if there is none.
func (t *Table) Match(host, path string) *dynamic.Route {
	if r := t.byHost[HostName(host)].match(path); r != nil {
		return r
	}
	return t.byHost[anyHost].match(path)
}

// HostName returns the host name of a Host header, in lower case and without the port.
func HostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
