package main

import (
	"strconv"
	"time"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/testbed/target"
)

const (
	// demoWork is the service time of a demo target's ordinary request.
	demoWork = 20 * time.Millisecond
	// demoSlowFactor is the slow target's service time relative to that of the others.
	demoSlowFactor = 5
	// demoFailShare is the share of requests that fail on the gray target, one that
	// fails only a part of its work.
	demoFailShare = 0.3
)

// demoTarget describes one stand-in target of the demo.
type demoTarget struct {
	service  string
	behavior target.Behavior
	note     string
}

// demoTargets returns the demo's stand-in targets.
func demoTargets() []demoTarget {
	return []demoTarget{
		{"statusdesk", target.Behavior{}, "healthy"},
		{"statusdesk", target.Behavior{}, "healthy"},
		{"statusdesk", target.Behavior{SlowFactor: demoSlowFactor}, "five times slower than the others"},
		{"statusdesk", target.Behavior{}, "healthy"},
		{"bookings", target.Behavior{}, "healthy"},
		{"bookings", target.Behavior{FailShare: demoFailShare}, "fails three of ten requests, its health endpoint is good"},
		{"bookings", target.Behavior{}, "healthy"},
		{"bookings", target.Behavior{}, "healthy"},
	}
}

// demoConfig returns the fleet configuration of the demo, without targets.
func demoConfig() *dynamic.Config {
	src := `
[defaults]
slots = 2

[service statusdesk]

[service bookings]

[route status]
prefix = /status
service = statusdesk

[route bookings]
prefix = /bookings
service = bookings
`
	cfg, problems := dynamic.Parse("demo.ini", []byte(src))
	if len(problems) > 0 {
		panic("the demo's configuration is wrong: " + joinProblems(problems).Error())
	}
	return cfg
}

// startTargets starts the stand-in targets and adds them to the configuration.
func (d *demo) startTargets(cfg *dynamic.Config) error {
	for i, s := range demoTargets() {
		name := s.service + "-" + strconv.Itoa(i+1)
		t, err := target.Start(target.Config{Name: name, Address: "127.0.0.1:0", Work: demoWork, Seed: uint64(i)})
		if err != nil {
			return err
		}
		t.Set(s.behavior)
		d.targets = append(d.targets, t)
		cfg.Targets = append(cfg.Targets, dynamic.Target{
			Name: name, Service: s.service, Address: t.Address(), AvailabilityZone: demoZone(i),
		})
	}
	return nil
}
