package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// address is where a target is reached.
type address struct {
	name, service, address, zone string
}

// nodeSettings returns what each node's settings say beside its addresses.
func nodeSettings(configFile string) string {
	return fmt.Sprintf("[platform]\nconfig_file = %s\n[drain]\ndelay = %s\ntimeout = %s\n",
		configFile, drainDelay, drainTimeout)
}

// writeConfig writes the fleet configuration and returns the file's name.
func (b *bench) writeConfig(targets []address) (string, error) {
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
	file := filepath.Join(b.dir, "fleet.ini")
	return file, os.WriteFile(file, []byte(s.String()), 0o600)
}

// routeTimeout is a little shorter than the callers' patience, so that they
// still hear what became of their requests.
func routeTimeout(svc service) time.Duration { return svc.class.Patience * 19 / 20 }

func (b *bench) idempotency(svc service) string {
	switch {
	case svc.name != b.deployment.booking.name:
		return "method"
	case b.opts.fault == faultRetryBookings:
		return "always"
	}
	return "never"
}
