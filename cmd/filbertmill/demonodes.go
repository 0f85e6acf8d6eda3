package main

import (
	"io"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/static"
	"filbertmill.example/node"
	"filbertmill.example/platform"
)

const (
	demoNodes  = 3
	demoRegion = "demo"
	// demoDrainDelay is short, so that the demo ends quickly.
	demoDrainDelay   = 100 * time.Millisecond
	demoDrainTimeout = 10 * time.Second
	demoEventRing    = 4096
)

// makeNodes enters the demo's hosts in the platform's host list and creates their
// nodes, which find one another and the configuration through the platform.
func (d *demo) makeNodes(logs io.Writer) error {
	hosts, err := demoHosts()
	if err != nil {
		return err
	}
	d.platform.Hosts.SetHosts(hosts)
	for _, h := range hosts {
		n, err := node.New(demoSettings(h, d.platform.URL()), nil, demoLogger(logs, h.Name))
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	return nil
}

// demoHosts returns the hosts of the demo's nodes.
func demoHosts() ([]platform.Host, error) {
	addrs, err := freeAddresses(2 * demoNodes)
	if err != nil {
		return nil, err
	}
	hosts := make([]platform.Host, demoNodes)
	for i := range hosts {
		hosts[i] = platform.Host{
			Name: "node-" + strconv.Itoa(i+1), AvailabilityZone: demoZone(i), Region: demoRegion,
			PeerAddress: addrs[2*i], ControlAddress: addrs[2*i+1],
		}
	}
	return hosts, nil
}

// demoSettings returns the settings of the node on a host.
func demoSettings(h platform.Host, platformURL string) *static.Settings {
	return &static.Settings{
		Name: h.Name, AvailabilityZone: h.AvailabilityZone, Region: h.Region,
		CallerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
		PeerAddress: h.PeerAddress, ControlAddress: h.ControlAddress,
		SharedKey: "demo key, known to everybody",
		StoreURL:  platformURL, HostListURL: platformURL,
		DrainDelay: demoDrainDelay, DrainTimeout: demoDrainTimeout,
		LogLevel: "info", EventRing: demoEventRing,
	}
}

// demoZone returns the availability zone of the i-th host.
func demoZone(i int) string {
	zones := []string{"kandy", "nuwara", "matale"}
	return zones[i%len(zones)]
}

// demoLogger returns the logger of one demo node.
func demoLogger(out io.Writer, name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: out, Level: hclog.Info}).With("node", name)
}

// freeAddresses returns n loopback addresses on which nothing listens at the moment.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		list = append(list, ln.Addr().String())
	}
	return list, nil
}
