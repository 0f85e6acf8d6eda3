package process

import (
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Gateway describes one node on the platform before it is started.
type Gateway struct {
	// Name and AvailabilityZone identify the node.
	Name             string
	AvailabilityZone string
	// Callers, Ready and Control are its addresses to listen on: for callers, for
	// readiness checks and for other nodes.
	Callers, Ready, Control string
	// Store is the address at which it reaches the platform's store, for example that
	// of a fault proxy.
	Store string
	// Seeds are control addresses of the nodes that it contacts first.
	Seeds []string
	// FirstStart is set if all nodes start for the first time.
	FirstStart bool
	// MemoryMB is the memory that it may use, in MB; 0 stands for DefaultMemoryMB.
	MemoryMB int
	// MaxDescriptors is the number of file descriptors that it may use; 0 stands for
	// DefaultMaxDescriptors.
	MaxDescriptors int
	// LinkMbps is the bandwidth of its link in Mbit/s, as it is told; 0 stands for
	// DefaultLinkMbps.
	LinkMbps int
	// Log is the file to which it writes its log; empty stands for one in the directory
	// of the settings file.
	Log string
}

// DefaultMemoryMB is the memory of a node, in MB, if Gateway sets none.
const DefaultMemoryMB = 256

// DefaultMaxDescriptors is the number of file descriptors if Gateway sets none.
const DefaultMaxDescriptors = 1024

// DefaultLinkMbps is the bandwidth of a node's link, in Mbit/s, if Gateway sets none.
const DefaultLinkMbps = 1000

// NewGateways returns n nodes on free loopback addresses, spread over the
// availability zones, that all reach the store at one address.
func NewGateways(n int, zones []string, store string) ([]Gateway, error) {
	addrs, err := FreeAddresses(3 * n)
	if err != nil {
		return nil, err
	}
	list := make([]Gateway, n)
	for i := range list {
		a := addrs[3*i:]
		list[i] = Gateway{
			Name: fmt.Sprintf("host-%d", i+1), AvailabilityZone: zones[i%len(zones)],
			Callers: a[0], Ready: a[1], Control: a[2], Store: store, FirstStart: true,
		}
	}
	for i := range list {
		for j := range min(n, 3) {
			list[i].Seeds = append(list[i].Seeds, list[j].Control)
		}
	}
	return list, nil
}

// Settings returns the settings file, in the platform's format.
func (g Gateway) Settings() string {
	return fmt.Sprintf(`node = %q
ip = "127.0.0.1"
zone = %q
region = "test"
port-range = [1024, 65535]
seeds = [%s]
bootstrap = %t
heartbeat-s = 0.5

[listen]
front = %q
ready = %q
control = %q

[limits]
cpu-share = 1.0
cores = 1
memory-mb = %d
max-fds = %d
link-mbps = %d

[bounds]
contact-s = 3
drain-s = 2
grace-s = 6
config-apply-s = 2
reuse-after-s = 2
budget-ratio = 0.2
budget-window-s = 10
budget-extra = 50
probes-per-s = 3
floor-share = 0.7
quota-window-s = 5
quota-overage = 0.1
quota-slack = 20

[platform]
address = %q
`, g.Name, g.AvailabilityZone, quoted(g.Seeds), g.FirstStart, g.Callers, g.Ready, g.Control,
		cmp.Or(g.MemoryMB, DefaultMemoryMB), cmp.Or(g.MaxDescriptors, DefaultMaxDescriptors), cmp.Or(g.LinkMbps, DefaultLinkMbps), g.Store)
}

func quoted(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = fmt.Sprintf("%q", s)
	}
	return strings.Join(out, ", ")
}

// Write writes the settings file in dir.
func (g Gateway) Write(dir string) error {
	return os.WriteFile(g.file(dir), []byte(g.Settings()), 0o600)
}

func (g Gateway) file(dir string) string { return filepath.Join(dir, g.Name+".toml") }

// StartGateway runs the program as a node on the platform. Its settings file and log
// go into dir.
func StartGateway(bin, dir string, g Gateway) (*Node, error) {
	if err := g.Write(dir); err != nil {
		return nil, err
	}
	cmd := exec.Command(bin, "gateway")
	cmd.Env = append(os.Environ(), "FILBERTMILL_SETTINGS="+g.file(dir))
	spec := Spec{Name: g.Name, AvailabilityZone: g.AvailabilityZone, Callers: g.Callers, Control: g.Control}
	log := cmp.Or(g.Log, filepath.Join(dir, g.Name+".log"))
	return run(cmd, spec, log, "http://"+g.Ready+"/ready")
}
