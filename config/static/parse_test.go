package static

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const valid = `[node]
name = wigston-1
availability_zone = wigston

[listen]
callers = 0.0.0.0:8080
peers = 127.0.0.1:8081
control = 127.0.0.1:8082

[fleet]
shared_key = 0123456789abc#;"def
seeds = oadby-1@oadby@127.0.0.2:8081@127.0.0.2:8082, syston-1@syston@127.0.0.3:8081@127.0.0.3:8082

[platform]
store = http://127.0.0.1:9000
`

func TestParseFillsDefaults(t *testing.T) {
	settings, problems := Parse("node.ini", []byte(valid))
	qt.Assert(t, problems, qt.HasLen, 0)
	qt.Assert(t, settings, qt.DeepEquals, &Settings{
		Name:             "wigston-1",
		AvailabilityZone: "wigston",
		Region:           "default",
		CallerAddress:    "0.0.0.0:8080",
		PeerAddress:      "127.0.0.1:8081",
		ControlAddress:   "127.0.0.1:8082",
		AdminAddress:     "127.0.0.1:0",
		SharedKey:        `0123456789abc#;"def`,
		Seeds: []Seed{
			{Name: "oadby-1", AvailabilityZone: "oadby", PeerAddress: "127.0.0.2:8081", ControlAddress: "127.0.0.2:8082"},
			{Name: "syston-1", AvailabilityZone: "syston", PeerAddress: "127.0.0.3:8081", ControlAddress: "127.0.0.3:8082"},
		},
		StoreURL:     "http://127.0.0.1:9000",
		DrainDelay:   5 * time.Second,
		DrainTimeout: time.Minute,
		LogLevel:     "info",
		EventRing:    4096,
		MemoryMB:     1024,
	})
}

func TestParseReportsAllProblemsAtOnce(t *testing.T) {
	src := `[node]
name = bad name
colour = red
[listen]
callers = localhost:80
peers = 0.0.0.0:80
control = 127.0.0.1:8082
control = 127.0.0.1:8083
[fleet]
shared_key = short
seeds = lonely
[disk]
path = /var
[drain]
delay = soon
timeout = -1s
[log]
level = chatty
event_ring = 3
`
	_, problems := Parse("node.ini", []byte(src))
	var texts []string
	for _, p := range problems {
		texts = append(texts, p.Error())
	}
	qt.Assert(t, texts, qt.DeepEquals, []string{
		`node.ini:1: [node] availability_zone: the key is required`,
		`node.ini:1: [platform] one of config_file and store is required`,
		`node.ini:2: [node] name: "bad name" is not a name: letters, digits, dots, underscores and hyphens, at most 64`,
		`node.ini:3: [node] colour: unknown key`,
		`node.ini:5: [listen] callers: "localhost:80" is not an IP address with a port`,
		`node.ini:6: [listen] peers: "0.0.0.0:80" must be an address that other nodes can reach`,
		`node.ini:8: [listen] control: the key is already at line 7`,
		`node.ini:10: [fleet] shared_key: the key has 5 bytes, fewer than 16`,
		`node.ini:11: [fleet] seeds: seed "lonely" is not in the form name@availability-zone@peer-address@control-address`,
		`node.ini:12: [disk] unknown section of a node's settings`,
		`node.ini:15: [drain] delay: "soon" is not a duration such as 250ms or 10s`,
		`node.ini:16: [drain] timeout: -1s is not between 1ms and 24h0m0s`,
		`node.ini:18: [log] level: "chatty" is not one of trace, debug, info, warn, error, off`,
		`node.ini:19: [log] event_ring: 3 is not between 16 and 1048576`,
	})
}

func TestParsePlatform(t *testing.T) {
	base, _, _ := strings.Cut(valid, "[platform]")
	for _, test := range []struct {
		desc, platform, want string
	}{
		{"both", "[platform]\nstore = http://127.0.0.1:1\nconfig_file = f.ini\n", "config_file and store exclude each other"},
		{"neither", "[platform]\nhost_list = http://127.0.0.1:1\n", "one of config_file and store is required"},
		{"no section", "", "one of config_file and store is required"},
		{"not a URL", "[platform]\nstore = 127.0.0.1:1\n", `"127.0.0.1:1" is not an http or https URL with a host`},
	} {
		t.Run(test.desc, func(t *testing.T) {
			_, problems := Parse("node.ini", []byte(base+test.platform))
			qt.Assert(t, problems, qt.HasLen, 1)
			qt.Assert(t, problems[0].Text, qt.Equals, test.want)
		})
	}
}

func TestParseAdvertisedAddresses(t *testing.T) {
	src := strings.Replace(valid, "[fleet]", "peers_advertised = 127.0.0.9:1\ncontrol_advertised = 127.0.0.9:2\n[fleet]", 1)
	settings, problems := Parse("node.ini", []byte(src))
	qt.Assert(t, problems, qt.HasLen, 0)
	qt.Assert(t, settings.AdvertisedPeerAddress, qt.Equals, "127.0.0.9:1")
	qt.Assert(t, settings.AdvertisedControlAddress, qt.Equals, "127.0.0.9:2")

	_, problems = Parse("node.ini", []byte(strings.Replace(src, "127.0.0.9:1", "127.0.0.9:0", 1)))
	qt.Assert(t, problems, qt.HasLen, 1)
	qt.Assert(t, problems[0].Key, qt.Equals, "peers_advertised")
}
