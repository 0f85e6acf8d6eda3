package static

import (
	"time"

	"filbertmill.example/config/internal/schema"
	"filbertmill.example/config/source"
)

const (
	sectionPlatform = "platform"
	keyConfigFile   = "config_file"
	keyStore        = "store"
)

const (
	// minKeyBytes is the minimum length of the shared key.
	minKeyBytes = 16
	// minEventRing and maxEventRing limit the number of decisions kept.
	minEventRing = 16
	maxEventRing = 1 << 20
	// minMemoryMB and maxMemoryMB limit the memory of a process, and maxDescriptors the
	// number of its file descriptors.
	minMemoryMB    = 64
	maxMemoryMB    = 1 << 20
	maxDescriptors = 1 << 30
	// maxDrain is the maximum of both settings of [drain].
	maxDrain = 24 * time.Hour
)

// logLevels are the log levels of hclog.
var logLevels = []string{"trace", "debug", "info", "warn", "error", "off"}

type field = schema.Field[Settings]

// sectionNames lists the sections in the order of the documentation.
var sectionNames = []string{"node", "listen", "fleet", sectionPlatform, "limits", "drain", "log"}

// sections holds the fields of each section.
var sections = map[string][]field{
	"node": {
		schema.Name("name", func(s *Settings) *string { return &s.Name }).AsRequired(),
		schema.Name("availability_zone", func(s *Settings) *string { return &s.AvailabilityZone }).AsRequired(),
		schema.Name("region", func(s *Settings) *string { return &s.Region }).WithDefault("default"),
	},
	"listen": {
		schema.ListenAddress("callers", func(s *Settings) *string { return &s.CallerAddress }).AsRequired(),
		schema.NodeAddress("peers", func(s *Settings) *string { return &s.PeerAddress }).AsRequired(),
		schema.NodeAddress("control", func(s *Settings) *string { return &s.ControlAddress }).AsRequired(),
		schema.RemoteAddress("peers_advertised", func(s *Settings) *string { return &s.AdvertisedPeerAddress }),
		schema.RemoteAddress("control_advertised", func(s *Settings) *string { return &s.AdvertisedControlAddress }),
		schema.ListenAddress("admin", func(s *Settings) *string { return &s.AdminAddress }).WithDefault("127.0.0.1:0"),
	},
	"fleet": {
		schema.Text("shared_key", func(s *Settings) *string { return &s.SharedKey }).
			WithUnit("text, at least 16 bytes").AsRequired().Validated(checkKey),
		seedsField(),
	},
	sectionPlatform: {
		schema.Text(keyConfigFile, func(s *Settings) *string { return &s.ConfigFile }).WithUnit("file name"),
		schema.URL(keyStore, func(s *Settings) *string { return &s.StoreURL }),
		schema.URL("host_list", func(s *Settings) *string { return &s.HostListURL }),
	},
	"limits": {
		schema.Integer("memory_mb", "MB", minMemoryMB, maxMemoryMB, func(s *Settings) *int { return &s.MemoryMB }).WithDefault("1024"),
		schema.Integer("descriptors", "file descriptors", 0, maxDescriptors, func(s *Settings) *int { return &s.Descriptors }).
			WithDefault("0"),
	},
	"drain": {
		schema.Duration("delay", 0, maxDrain, func(s *Settings) *time.Duration { return &s.DrainDelay }).WithDefault("5s"),
		schema.Duration("timeout", time.Millisecond, maxDrain, func(s *Settings) *time.Duration { return &s.DrainTimeout }).
			WithDefault("60s"),
	},
	"log": {
		schema.OneOf("level", logLevels, func(s *Settings) *string { return &s.LogLevel }).WithDefault("info"),
		schema.Integer("event_ring", "events", minEventRing, maxEventRing, func(s *Settings) *int { return &s.EventRing }).
			WithDefault("4096"),
	},
}

// Reference lists all settings of a node in the order of the documentation.
func Reference() []source.Setting {
	var settings []source.Setting
	for _, name := range sectionNames {
		settings = append(settings, schema.Reference(name, sections[name])...)
	}
	return settings
}
