// Package static holds the settings of one node, which it reads once when it
// starts.
package static

import "time"

// Settings are the settings of one node.
type Settings struct {
	// Name identifies the node; it must be unique in the fleet. [node] name.
	Name string
	// AvailabilityZone and Region are where the node runs. [node].
	AvailabilityZone string
	Region           string
	// CallerAddress is the listen address for callers. [listen] callers.
	CallerAddress string
	// PeerAddress is the listen address for forwarded requests. [listen] peers.
	PeerAddress string
	// ControlAddress is the listen address for control messages. [listen] control.
	ControlAddress string
	// AdvertisedPeerAddress and AdvertisedControlAddress are where other nodes
	// reach the two, where that differs, as behind address translation.
	// [listen] peers_advertised, control_advertised. Default: the listen addresses.
	AdvertisedPeerAddress    string
	AdvertisedControlAddress string
	// AdminAddress is the listen address for operators; on loopback unless
	// set otherwise. [listen] admin. Default: 127.0.0.1:0.
	AdminAddress string
	// SharedKey authenticates the fleet's nodes to one another, at least 16
	// bytes. [fleet] shared_key.
	SharedKey string
	// Seeds lists nodes to contact first. [fleet] seeds, in the form
	// name@availability-zone@peer-address@control-address.
	Seeds []Seed
	// ConfigFile is a fleet configuration on disk, for fleets without a
	// store. [platform] config_file.
	ConfigFile string
	// StoreURL and HostListURL locate the platform's services. [platform].
	StoreURL    string
	HostListURL string
	// DrainDelay is how long the node keeps taking work after it stops being
	// ready, so that the balancer can notice. [drain] delay. Default: 5s.
	DrainDelay time.Duration
	// DrainTimeout bounds the wait for requests in flight. [drain] timeout.
	// Default: 60s.
	DrainTimeout time.Duration
	// LogLevel is an hclog level. [log] level. Default: info.
	LogLevel string
	// EventRing is the number of decisions kept for explanation.
	// [log] event_ring. Default: 4096.
	EventRing int
}

// Seed is a node that is known before any membership is learned.
type Seed struct {
	// Name and AvailabilityZone identify the node.
	Name             string
	AvailabilityZone string
	// PeerAddress and ControlAddress are where it listens.
	PeerAddress    string
	ControlAddress string
}
