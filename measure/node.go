package main

import (
	"bytes"
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/pool"
	"filbertmill.example/testbed/process"
)

// adminTimeout bounds one question to a node's admin listener.
const adminTimeout = 2 * time.Second

// node is one node of a bench; its process may be replaced by another.
type node struct {
	binary, dir string
	spec        process.Spec
	settings    string
	place       process.Place
}

// start starts the node and waits until it is ready.
func (p *node) start(ctx context.Context) error {
	err := p.place.Replace(func(*process.Node) {}, func() (*process.Node, error) {
		return process.Start(p.binary, p.dir, p.spec, p.settings)
	})
	if err != nil {
		return err
	}
	return p.process().Ready(ctx)
}

// process returns the process that runs the node, or nil if none was started.
func (p *node) process() *process.Node { return p.place.Latest() }

// drain ends the node gracefully.
func (p *node) drain() error {
	proc := p.process()
	return errors.CombineErrors(proc.Terminate(), proc.Wait())
}

// close ends the node at once.
func (p *node) close() { p.place.Close() }

// log returns what the node has logged.
func (p *node) log() []byte {
	raw, _ := os.ReadFile(p.process().Log)
	return raw
}

// pid returns the process id.
func (p *node) pid() int { return p.process().PID() }

// pools asks the node for its services' state.
func (p *node) pools() ([]pool.Snapshot, error) {
	var list []pool.Snapshot
	return list, p.ask("/pools", &list)
}

// ask reads JSON from the node's admin listener.
func (p *node) ask(path string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	return process.GetJSON(ctx, p.spec.Admin, path, into)
}

// clockTick is the unit of the processor times in /proc.
const clockTick = 10 * time.Millisecond

// cpuTime returns the processor time that the node has used.
func (p *node) cpuTime() (time.Duration, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(p.pid()) + "/stat")
	if err != nil {
		return 0, err
	}
	// The fields follow the command's name, which ends with the last ")".
	const userField, systemField = 11, 12
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, err := strconv.Atoi(fields[userField])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * clockTick, err
}

// rssMB returns the node's resident memory in megabytes.
func (p *node) rssMB() (float64, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(p.pid()) + "/status")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1000, err
		}
	}
	return 0, errors.New("no VmRSS")
}
