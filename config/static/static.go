// Package static holds the settings of one node, which the node reads once when
// it starts.
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
	// reach PeerAddress and ControlAddress if that differs, as behind network
	// address translation.
	// [listen] peers_advertised, control_advertised. Default: the listen addresses.
	AdvertisedPeerAddress    string
	AdvertisedControlAddress string
	// AdminAddress is the listen address for operators; on loopback unless
	// set otherwise. [listen] admin. Default: 127.0.0.1:0.
	AdminAddress string
	// SharedKey authenticates the fleet's nodes to one another, at least 16
	// bytes. [fleet] shared_key.
	SharedKey string
	// Seeds lists the nodes to contact first. [fleet] seeds, in the form
	// name@availability-zone@peer-address@control-address.
	Seeds []Seed
	// ConfigFile is a fleet configuration on disk, for fleets without a
	// store. [platform] config_file.
	ConfigFile string
	// StoreURL and HostListURL locate the platform's services. [platform].
	StoreURL    string
	HostListURL string
	// MemoryMB is the memory that the process may use, in MB. [limits] memory_mb.
	// Default: 1024.
	MemoryMB int
	// Descriptors is the number of file descriptors that the process may use; 0 stands
	// for the limit of the operating system. [limits] descriptors.
	Descriptors int
	// DrainDelay is how long the node keeps accepting requests after it stops
	// reporting ready, so that the load balancer can notice. [drain] delay.
	// Default: 5s.
	DrainDelay time.Duration
	// DrainTimeout is the maximum wait for requests in flight at a shutdown.
	// [drain] timeout. Default: 60s.
	DrainTimeout time.Duration
	// LogLevel is the log level, one of hclog's. [log] level. Default: info.
	LogLevel string
	// EventRing is the number of decisions kept in memory to be explained.
	// [log] event_ring. Default: 4096.
	EventRing int
}

// Seed is a node that is known before the fleet's members are.
type Seed struct {
	// Name and AvailabilityZone identify the node.
	Name             string
	AvailabilityZone string
	// PeerAddress and ControlAddress are where it listens.
	PeerAddress    string
	ControlAddress string
}
