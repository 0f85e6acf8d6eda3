package integration

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/testbed/process"
)

// TestGatewayOutlivesAShortageOfDescriptors guards against a process that ends
// because accept fails for lack of file descriptors. The process may open 48; 100
// callers connect.
func TestGatewayOutlivesAShortageOfDescriptors(t *testing.T) {
	const descriptors, connections = 48, 100
	f := startGatewayFleet(t, 1, 1)
	wrapper := filepath.Join(f.dir, "limited")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %q \"$@\"\n", descriptors, binary)
	qt.Assert(t, os.WriteFile(wrapper, []byte(script), 0o700), qt.IsNil)
	specs, err := process.NewGateways(1, gatewayZones, f.specs[0].Store)
	qt.Assert(t, err, qt.IsNil)
	specs[0].Name = "host-2"
	n, err := process.StartGateway(wrapper, f.dir, specs[0])
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(n.Kill)
	qt.Assert(t, n.Ready(t.Context()), qt.IsNil)
	f.specs, f.nodes = append(f.specs, specs[0]), append(f.nodes, n)
	f.await("the node serves", 5*time.Second, func() bool { return f.send(1, "GET", "look", "warm").StatusCode == 200 })

	var held []net.Conn
	for range connections {
		c, err := net.Dial("tcp", specs[0].Callers)
		qt.Assert(t, err, qt.IsNil)
		held = append(held, c)
	}
	time.Sleep(500 * time.Millisecond)
	for _, c := range held {
		qt.Check(t, c.Close(), qt.IsNil)
	}
	f.await("the node serves again", 5*time.Second, func() bool { return f.send(1, "GET", "look", "after").StatusCode == 200 })
	qt.Assert(t, n.Terminate(), qt.IsNil)
	qt.Check(t, n.Wait(), qt.IsNil)
}
