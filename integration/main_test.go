// Package integration tests real node processes against stand-ins for the platform
// and the targets.
package integration

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/testbed/process"
	"filbertmill.example/testbed/target"
)

// binary is the program under test.
var binary string

// zones are the availability zones of the test fleets.
var zones = []string{"kandy", "nuwara", "matale"}

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the program, runs the tests, and removes it again.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "filbertmill-test-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	if binary, err = process.Build(dir); err != nil {
		panic(err)
	}
	return m.Run()
}

// fleet is a number of running nodes with one fleet configuration.
type fleet struct {
	nodes []*process.Node
	specs []process.Spec
	dir   string
	// platformSettings are the lines of the section [platform] of the nodes' settings.
	platformSettings string
	// sections are further sections of them.
	sections string
}

// startFleet starts n nodes that read the configuration from a file.
func startFleet(c *qt.C, n int, configuration string) *fleet {
	file := filepath.Join(c.TempDir(), "fleet.ini")
	c.Assert(os.WriteFile(file, []byte(configuration), 0o600), qt.IsNil)
	return startNodes(c, n, "config_file = "+file)
}

// startNodes starts n nodes with the given lines in the section [platform] of
// their settings, and waits until they are ready.
func startNodes(c *qt.C, n int, platformSettings string) *fleet {
	return startNodesWith(c, n, platformSettings, "")
}

// startNodesWith is startNodes with further sections of the settings.
func startNodesWith(c *qt.C, n int, platformSettings, sections string) *fleet {
	specs, err := process.NewSpecs(n, zones)
	c.Assert(err, qt.IsNil)
	f := &fleet{dir: c.TempDir(), platformSettings: platformSettings, sections: sections, specs: specs}
	for i := range specs {
		f.nodes = append(f.nodes, nil)
		f.start(c, i)
	}
	for _, node := range f.nodes {
		c.Assert(node.Ready(context.Background()), qt.IsNil)
	}
	return f
}

// start starts the i-th node, which may have run before.
func (f *fleet) start(c *qt.C, i int) {
	extra := fmt.Sprintf("[platform]\n%s\n\n[drain]\ndelay = 200ms\n\n%s", f.platformSettings, f.sections)
	node, err := process.Start(binary, f.dir, f.specs[i], f.specs[i].Settings(f.specs, extra))
	c.Assert(err, qt.IsNil)
	c.Cleanup(node.Kill)
	f.nodes[i] = node
}

// url returns a URL on which the i-th node serves callers.
func (f *fleet) url(i int, path string) string {
	return "http://" + f.specs[i].Callers + path
}

// startTargets starts stand-in targets of a service and returns them and their part of
// the fleet configuration.
func startTargets(c *qt.C, service string, list ...target.Config) ([]*target.Target, string) {
	var targets []*target.Target
	var ini strings.Builder
	for i, cfg := range list {
		cfg.Name = fmt.Sprintf("%s-%d", service, i+1)
		if cfg.Address == "" {
			cfg.Address = "127.0.0.1:0"
		}
		t, err := target.Start(cfg)
		c.Assert(err, qt.IsNil)
		c.Cleanup(t.Close)
		targets = append(targets, t)
		fmt.Fprintf(&ini, "[target %s]\nservice = %s\naddress = %s\navailability_zone = %s\n\n",
			cfg.Name, service, t.Address(), zones[i%len(zones)])
	}
	return targets, ini.String()
}
