// Package process runs nodes as separate processes, for integration tests and
// measurements.
package process

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// readyTimeout is the longest wait for a node to become ready.
	readyTimeout = 30 * time.Second
	// readyInterval is the time between two readiness checks of a node.
	readyInterval = 10 * time.Millisecond
	// probeTimeout is the timeout of one readiness check.
	probeTimeout = 2 * time.Second
)

// Build compiles the filbertmill command into dir and returns the path of the program.
// The flags are passed to go build.
func Build(dir string, flags ...string) (string, error) {
	bin := filepath.Join(dir, "filbertmill")
	args := append([]string{"build", "-o", bin}, flags...)
	out, err := exec.Command("go", append(args, "filbertmill.example/filbertmill/cmd/filbertmill")...).CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "build: %s", out)
	}
	return bin, nil
}

// Spec describes one node before it is started.
type Spec struct {
	// Name and AvailabilityZone identify the node.
	Name             string
	AvailabilityZone string
	// Callers, Peers, Control and Admin are its addresses to listen on.
	Callers, Peers, Control, Admin string
	// AdvertisedPeers and AdvertisedControl are the addresses at which other nodes
	// reach Peers and Control, if they differ, for example those of a fault proxy.
	AdvertisedPeers, AdvertisedControl string
}

// NewSpecs returns n nodes on free loopback addresses, spread over the
// availability zones.
func NewSpecs(n int, zones []string) ([]Spec, error) {
	addrs, err := FreeAddresses(4 * n)
	if err != nil {
		return nil, err
	}
	specs := make([]Spec, n)
	for i := range specs {
		a := addrs[4*i:]
		specs[i] = Spec{
			Name: fmt.Sprintf("node-%d", i+1), AvailabilityZone: zones[i%len(zones)],
			Callers: a[0], Peers: a[1], Control: a[2], Admin: a[3],
		}
	}
	return specs, nil
}

// Settings returns the settings of the node as INI. The extra text is appended and
// holds complete sections, such as [platform].
func (s Spec) Settings(seeds []Spec, extra string) string {
	list := make([]string, len(seeds))
	for i, p := range seeds {
		peers, control := cmp.Or(p.AdvertisedPeers, p.Peers), cmp.Or(p.AdvertisedControl, p.Control)
		list[i] = strings.Join([]string{p.Name, p.AvailabilityZone, peers, control}, "@")
	}
	return fmt.Sprintf(`[node]
name = %s
availability_zone = %s
region = test

[listen]
callers = %s
peers = %s
control = %s
admin = %s
%s
[fleet]
shared_key = integration-test-key
seeds = %s

%s`, s.Name, s.AvailabilityZone, s.Callers, s.Peers, s.Control, s.Admin, s.advertised(), strings.Join(list, ", "), extra)
}

// advertised returns the settings lines of the advertised addresses.
func (s Spec) advertised() string {
	var b strings.Builder
	if s.AdvertisedPeers != "" {
		fmt.Fprintf(&b, "peers_advertised = %s\n", s.AdvertisedPeers)
	}
	if s.AdvertisedControl != "" {
		fmt.Fprintf(&b, "control_advertised = %s\n", s.AdvertisedControl)
	}
	return b.String()
}

// Node is a running process.
type Node struct {
	// Spec is the description that it was started with.
	Spec Spec
	// Log is the path of the file with its log lines.
	Log string

	// ready is the URL of the readiness check.
	ready string
	cmd   *exec.Cmd
	done  chan struct{}
	err   error
}

// Start runs the program with the given settings. Its settings file and log go into
// dir.
func Start(bin, dir string, spec Spec, settings string) (*Node, error) {
	file := filepath.Join(dir, spec.Name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(bin, "serve", "--config", file)
	return run(cmd, spec, filepath.Join(dir, spec.Name+".log"), "http://"+spec.Admin+"/readyz")
}

// run starts a command whose output is appended to a log file.
func run(cmd *exec.Cmd, spec Spec, log, ready string) (*Node, error) {
	n := &Node{Spec: spec, Log: log, ready: ready, cmd: cmd, done: make(chan struct{})}
	out, err := os.OpenFile(n.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	n.cmd.Stdout = out
	n.cmd.Stderr = out
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		n.err = n.cmd.Wait()
		close(n.done)
	}()
	return n, nil
}

// Ready waits until the node reports that it is ready.
func (n *Node) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{Timeout: probeTimeout}
	for {
		resp, err := client.Get(n.ready)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%s did not become ready; see %s", n.Spec.Name, n.Log)
		case <-n.done:
			return errors.Newf("%s ended: %v; see %s", n.Spec.Name, n.err, n.Log)
		case <-time.After(readyInterval):
		}
	}
}

// PID returns the process id.
func (n *Node) PID() int { return n.cmd.Process.Pid }

// Pause suspends the process until Resume.
func (n *Node) Pause() error { return n.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (n *Node) Resume() error { return n.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate makes the node drain and exit. Wait returns when it has exited.
func (n *Node) Terminate() error { return n.cmd.Process.Signal(syscall.SIGTERM) }

// Reload makes the node read its settings file again.
func (n *Node) Reload() error { return n.cmd.Process.Signal(syscall.SIGHUP) }

// Wait waits for the process to exit and returns its error.
func (n *Node) Wait() error {
	<-n.done
	return n.err
}

// Kill kills the process and waits for its exit. It may be called more than once.
func (n *Node) Kill() {
	_ = n.cmd.Process.Kill()
	<-n.done
}
