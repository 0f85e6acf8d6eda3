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
	// demoSlow is how many times slower the slow target is.
	demoSlow = 5
	// demoFailShare is the share of requests that the gray target fails.
	demoFailShare = 0.3
)

// demoTarget is one stand-in of the demo.
type demoTarget struct {
	service  string
	behavior target.Behavior
	note     string
}

// demoTargets returns the demo's stand-ins.
func demoTargets() []demoTarget {
	return []demoTarget{
		{"statusdesk", target.Behavior{}, "healthy"},
		{"statusdesk", target.Behavior{}, "healthy"},
		{"statusdesk", target.Behavior{SlowFactor: demoSlow}, "five times slower than the others"},
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

// startTargets starts the stand-ins and lists them in the configuration.
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
