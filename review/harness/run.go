package harness

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// LeadTime is the time between the start of the machines and of the traffic.
const LeadTime = 8 * time.Second

// minServed is the share of requests that must be served for a rule to count as kept: what
// is not served breaks few rules.
const minServed = 0.5

// Case is one run of a case.
type Case struct {
	Tally
	Platform *Platform
	Machines []*Machine
	Zones    []string
	// Dir is a temporary folder for settings and logs.
	Dir string
}

// Run sets up a case, plays and judges it, and returns the exit code of the program.
// SetUp starts servers and machines; play sends the traffic and reports whether the rule
// was kept.
func Run(setUp func(*Case) error, play func(*Case) (kept bool)) int {
	path := flag.String("record", "record.txt", "where to write the record")
	flag.Parse()
	record, err := NewRecord(*path)
	if err != nil {
		fmt.Println(err)
		return ExitFailed
	}
	defer record.Close()
	c := &Case{Zones: []string{"wigston", "oadby"}}
	c.Record = record
	defer c.close()
	if c.Dir, err = os.MkdirTemp("", "review-"); err == nil {
		if c.Platform, err = StartPlatform(); err == nil {
			err = setUp(c)
		}
	}
	if err != nil {
		record.Say("the case could not run: %v", err)
		return ExitFailed
	}
	time.Sleep(LeadTime)
	if !play(c) {
		return ExitBroken
	}
	if share := c.ServedShare(); share < minServed {
		record.Say("the case could not run: only %.2f of the requests were served", share)
		return ExitFailed
	}
	return ExitHeld
}

// StartMachines starts machines and waits until they are ready.
func (c *Case) StartMachines(n, memoryMB int) error {
	var err error
	c.Machines, err = StartMachines(c.Platform, c.Record, c.Dir, n, memoryMB, c.Zones)
	return err
}

// close ends all processes.
func (c *Case) close() {
	for _, m := range c.Machines {
		m.Close()
	}
	if c.Platform != nil {
		_ = c.Platform.Close()
	}
	if c.Dir != "" {
		_ = os.RemoveAll(c.Dir)
	}
}
