package node

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/config/dynamic"
)

// benchRoutes returns a configuration with n routes of any host.
func benchRoutes(n int) *dynamic.Config {
	cfg := &dynamic.Config{}
	for i := range n {
		cfg.Routes = append(cfg.Routes, dynamic.Route{
			Name: fmt.Sprintf("r%05d", i), Host: "*",
			PathPrefix: fmt.Sprintf("/workspace/%05d/bookings", i), Service: "s",
		})
	}
	return cfg
}

var benchSizes = []int{180, 1_800, 18_000}

// BenchmarkMatchRoute finds the route of a request's path.
func BenchmarkMatchRoute(b *testing.B) {
	for _, n := range benchSizes {
		table := newRouteTable(benchRoutes(n))
		path := fmt.Sprintf("/workspace/%05d/bookings/van-7/today", n-1)
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if table.match("gate.example:8080", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

// BenchmarkRouteByName finds the route that a forwarded request names.
func BenchmarkRouteByName(b *testing.B) {
	for _, n := range benchSizes {
		table := newRouteTable(benchRoutes(n))
		name := fmt.Sprintf("r%05d", n-1)
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			for b.Loop() {
				if table.route(name) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

// BenchmarkRouteTable builds the table, as a node does with each change of the
// configuration.
func BenchmarkRouteTable(b *testing.B) {
	for _, n := range benchSizes {
		cfg := benchRoutes(n)
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				newRouteTable(cfg)
			}
		})
	}
}

// BenchmarkMatchLongPath finds the route of an 8 KiB path of slashes, as an
// attacker may send it.
func BenchmarkMatchLongPath(b *testing.B) {
	table := newRouteTable(benchRoutes(18_000))
	path := strings.Repeat("/", 8<<10)
	for b.Loop() {
		if table.match("gate.example", path) != nil {
			b.Fatal("a route")
		}
	}
}

func TestMatchRoute(t *testing.T) {
	var cfg dynamic.Config
	for i, r := range []struct{ host, prefix string }{
		{"*", "/"},
		{"*", "/book"},
		{"*", "/book/van/"},
		{"*", "/book/van"},
		{"*", "/book//late"},
		{"Gate.example", "/book"},
		{"gate.example", "/book/van/today"},
	} {
		cfg.Routes = append(cfg.Routes, dynamic.Route{Name: fmt.Sprint(i), Host: r.host, PathPrefix: r.prefix})
	}
	table := newRouteTable(&cfg)
	for _, test := range []struct{ desc, host, path, want string }{
		{"any path", "yard", "/status", "0"},
		{"empty path", "yard", "", "0"},
		{"whole path", "yard", "/book", "1"},
		{"segment below", "yard", "/book/horse", "1"},
		{"part of a segment", "yard", "/booking", "0"},
		{"trailing slash", "yard", "/book/", "1"},
		{"longer prefix wins", "yard", "/book/van/7", "2"},
		{"prefix with a slash at the end, without it", "yard", "/book/van", "2"},
		{"empty segment", "yard", "/book//late/7", "4"},
		{"host wins over a longer prefix of any host", "GATE.example:80", "/book/van/7", "5"},
		{"longer prefix of the host", "gate.example", "/book/van/today", "6"},
		{"host without a match", "gate.example", "/status", "0"},
	} {
		t.Run(test.desc, func(t *testing.T) {
			r := table.match(test.host, test.path)
			qt.Assert(t, r, qt.IsNotNil)
			qt.Assert(t, r.Name, qt.Equals, test.want)
			qt.Assert(t, table.route(r.Name), qt.Equals, r)
		})
	}
	qt.Assert(t, table.route("unknown"), qt.IsNil)
	qt.Assert(t, newRouteTable(&dynamic.Config{}).match("yard", "/"), qt.IsNil)
}
