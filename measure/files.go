package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"filbertmill.example/fleet/publish"
)

// address is where a target is reached.
type address struct {
	name, service, address, zone string
}

// nodeSettings returns what each node's settings say beside its addresses.
func nodeSettings(store string) string {
	return fmt.Sprintf("[platform]\nstore = %s\n[drain]\ndelay = %s\ntimeout = %s\n",
		store, drainDelay, drainTimeout)
}

// publishConfig writes the fleet configuration to the store.
func (b *bench) publishConfig(ctx context.Context, targets []address) error {
	var s strings.Builder
	floor := floorShare
	if b.opts.fault == faultNoFloor {
		floor = 0
	}
	fmt.Fprintf(&s, "[defaults]\nvariant = %s\nfloor_share = %g\nconnections = %d\nrefusal_status = 503\n",
		b.variant, floor, b.deployment.connections)
	for _, svc := range b.deployment.services() {
		fmt.Fprintf(&s, "[service %s]\nslots = %d\nlong_share = %g\n", svc.name, svc.slots, svc.longShare)
		fmt.Fprintf(&s, "[route %s]\nprefix = /%s\nservice = %s\ntimeout = %s\nidempotency = %s\n",
			svc.name, svc.name, svc.name, routeTimeout(svc), b.idempotency(svc))
	}
	long := b.deployment.batch.name
	fmt.Fprintf(&s, "[route %s-long]\nprefix = /%s/long\nservice = %s\ntimeout = 60s\n", long, long, long)
	for _, t := range targets {
		fmt.Fprintf(&s, "[target %s]\nservice = %s\naddress = %s\navailability_zone = %s\n", t.name, t.service, t.address, t.zone)
	}
	publisher := &publish.Publisher{Store: b.platform.Store}
	_, err := publisher.Apply(ctx, publish.Change{File: "fleet.ini", Text: []byte(s.String()), Author: "measure"})
	return err
}

// routeTimeout is a little shorter than the callers' patience, so that they
// still hear what became of their requests.
func routeTimeout(svc service) time.Duration { return svc.class.Timeout * 19 / 20 }

func (b *bench) idempotency(svc service) string {
	switch {
	case svc.name != b.deployment.booking.name:
		return "method"
	case b.opts.fault == faultRetryBookings:
		return "always"
	}
	return "never"
}
