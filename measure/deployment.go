package main

import (
	"time"

	"filbertmill.example/testbed/load"
)

const (
	// zoneDelay is the one-way delay between availability zones.
	zoneDelay = time.Millisecond
	// clientDelay is the one-way delay between callers and nodes.
	clientDelay = 3 * time.Millisecond
	// floorShare is the share of slots that ejections must leave.
	floorShare = 0.5
)

// service is one service of a deployment.
type service struct {
	name    string
	targets int
	slots   int // of each target
	class   load.Class
	// longShare is the share of slots that long work may hold.
	longShare float64
}

// capacity is the number of requests a second that the slots can run.
func (s service) capacity() float64 {
	return float64(s.targets*s.slots) / s.class.Work.Seconds()
}

// stream returns the service's ordinary arrivals; each rate is a share of its
// capacity.
func (s service) stream(phases ...load.Phase) load.Stream {
	scaled := make([]load.Phase, len(phases))
	for i, p := range phases {
		scaled[i] = load.Phase{Duration: p.Duration, Rate: p.Rate * s.capacity()}
	}
	return load.Stream{Class: s.class, Phases: scaled}
}

// deployment is one of the two of the brief.
type deployment struct {
	name        string
	zones       []string
	connections int // that each target accepts
	lookup      service
	booking     service
	batch       service
}

func (d deployment) services() []service {
	return []service{d.lookup, d.booking, d.batch}
}

// The service times of the classes.
const (
	lookupWork  = 100 * time.Millisecond
	bookingWork = 50 * time.Millisecond
	batchWork   = 20 * time.Millisecond
	// longFactor is how much longer a long request takes than a batch one.
	longFactor = 100
)

// deployments returns the two deployments of the brief.
func deployments() []deployment {
	return []deployment{
		{
			name:        "lk-central",
			zones:       []string{"kandy", "nuwara", "matale", "badulla"},
			connections: 330,
			lookup:      lookupService("statusdesk", 8, 2),
			booking:     bookingService("bookings", 8, 2),
			batch:       batchService("archive", 12, 2),
		},
		{
			name:        "east-mids",
			zones:       []string{"wigston", "oadby", "syston", "braunstone"},
			connections: 390,
			lookup:      lookupService("larder", 8, 6),
			booking:     bookingService("coldrun", 9, 6),
			batch:       batchService("ledgerbook", 20, 6),
		},
	}
}

func lookupService(name string, targets, slots int) service {
	return service{
		name: name, targets: targets, slots: slots, longShare: 0.25,
		class: load.Class{
			Name: name, Path: "/" + name + "/item", Work: lookupWork, Exponential: true,
			AnswerBytes: 2000, Timeout: time.Second, Callers: 200,
		},
	}
}

func bookingService(name string, targets, slots int) service {
	return service{
		name: name, targets: targets, slots: slots, longShare: 0.25,
		class: load.Class{
			Name: name, Method: "POST", Path: "/" + name + "/item", Work: bookingWork, Exponential: true,
			BodyBytes: 500, AnswerBytes: 300, Timeout: 3 * time.Second, Callers: 200,
		},
	}
}

func batchService(name string, targets, slots int) service {
	return service{
		name: name, targets: targets, slots: slots, longShare: 0.6,
		class: load.Class{
			Name: name, Path: "/" + name + "/item", Work: batchWork, Exponential: true,
			AnswerBytes: 2000, Timeout: 10 * time.Second, Callers: 200,
		},
	}
}
