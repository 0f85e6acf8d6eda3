package dynamic

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const valid = `[defaults]
slots = 6
timeout = 4s

[service coldrun]
objective = 0.99
refusal_status = 503, 429

[route book]
host = Ices.example
prefix = /book/
service = coldrun
idempotency = never

[target cr-2]
service = coldrun
address = 127.0.0.1:9002
availability_zone = oadby

[target cr-1]
service = coldrun
address = 127.0.0.1:9001
availability_zone = wigston
slots = 3

[exception heat-wave]
scope = service coldrun
key = queue_limit
value = 900
reason = morning rounds in a heat wave; see ticket #12
author = j.dunmore
expires = 2030-08-01T00:00:00+01:00
`

func mustParse(t *testing.T, src string) *Config {
	t.Helper()
	c, problems := Parse("fleet.ini", []byte(src))
	qt.Assert(t, problems, qt.HasLen, 0)
	return c
}

func TestParseFillsDefaults(t *testing.T) {
	c := mustParse(t, valid)
	qt.Assert(t, c.Services, qt.DeepEquals, []Service{{
		Name:            "coldrun",
		Variant:         VariantHome,
		Slots:           6,
		Connections:     330,
		FloorShare:      0.5,
		QueueLimit:      256,
		CallerShare:     0.5,
		LongShare:       0.25,
		RetryShare:      0.1,
		RefusalStatus:   []int{429, 503},
		Objective:       0.99,
		ObjectiveWindow: 720 * time.Hour,
		ProbePath:       "/health",
	}})
	qt.Assert(t, c.Routes, qt.DeepEquals, []Route{{
		Name:             "book",
		Host:             "ices.example",
		PathPrefix:       "/book",
		Service:          "coldrun",
		Attempts:         3,
		Idempotency:      IdempotentNever,
		Timeout:          4 * time.Second,
		MaxRequestBytes:  256 << 20,
		MaxResponseBytes: 1 << 30,
	}})
	qt.Assert(t, c.Targets, qt.DeepEquals, []Target{
		{Name: "cr-1", Service: "coldrun", Address: "127.0.0.1:9001", AvailabilityZone: "wigston", Slots: 3},
		{Name: "cr-2", Service: "coldrun", Address: "127.0.0.1:9002", AvailabilityZone: "oadby"},
	})
	qt.Assert(t, c.Exceptions, qt.HasLen, 1)
}

func TestParseReportsAllProblemsAtOnce(t *testing.T) {
	src := `stray = 1
[defaults]
slots = many
prefix = /x
floor_share = NaN
[service a]
slots = 0
objective = 1
colour = red
refusal_status = 200
[service a]
variant = sideways
[route r1]
service = a
[route r2]
service = b
prefix = /
[route r3]
prefix = x
host = http://a
[target t1]
service = nowhere
address = 127.0.0.1:0
availability_zone = z
[target]
service = a
address = 127.0.0.1:9000
availability_zone = z
[target t2]
service = a
address = 127.0.0.1:9000
availability_zone = z
[target t3]
service = a
address = 127.0.0.1:9000
availability_zone = z
[bucket b]
key = value
[exception e1]
scope = service a
key = slots
value = 3
[exception e2]
scope = service a
key = slots
value = 4
reason = tests
author = me
[exception e3]
scope = service zz
key = slots
value = 4
reason =
author = me
[exception e4]
scope = target t2
key = address
value = 127.0.0.1:9001
reason = moved
author = me
expires = tomorrow
[exception e5]
scope = route r1
key = timeout
value = never
reason = slow
author = me
just words
[open
`
	_, problems := Parse("f.ini", []byte(src))
	var texts []string
	for _, p := range problems {
		texts = append(texts, p.Error())
	}
	qt.Assert(t, texts, qt.DeepEquals, []string{
		`f.ini:1: stray: the key stands before the first section`,
		`f.ini:3: [defaults] slots: "many" is not a whole number`,
		`f.ini:4: [defaults] prefix: unknown key, or one that has no default`,
		`f.ini:5: [defaults] floor_share: "NaN" is not a number from 0 to 1`,
		`f.ini:7: [service a] slots: 0 is not between 1 and 10000`,
		`f.ini:8: [service a] objective: an objective of 1 leaves no error budget`,
		`f.ini:9: [service a] colour: unknown key`,
		`f.ini:10: [service a] refusal_status: "200" is not a status from 400 to 599`,
		`f.ini:11: [service a] the section is already at line 6`,
		`f.ini:12: [service a] variant: "sideways" is not one of home, direct`,
		`f.ini:15: [route r2] matches the same requests as route r1: host *, prefix /`,
		`f.ini:16: [route r2] service: there is no service "b"`,
		`f.ini:18: [route r3] service: the key is required`,
		`f.ini:18: [route r3] matches the same requests as route r1: host *, prefix /`,
		`f.ini:19: [route r3] prefix: "x" is not a path that begins with a slash`,
		`f.ini:20: [route r3] host: "http://a" is not a host name without a port, nor *`,
		`f.ini:22: [target t1] service: there is no service "nowhere"`,
		`f.ini:23: [target t1] address: "127.0.0.1:0" is not an address to connect to`,
		`f.ini:25: [target] the section needs a name: [target NAME]`,
		`f.ini:35: [target t3] address: the address belongs to target t2 already`,
		`f.ini:37: [bucket b] unknown section of a fleet configuration`,
		`f.ini:39: [exception e1] reason: the key is required`,
		`f.ini:39: [exception e1] author: the key is required`,
		`f.ini:45: [exception e2] key: exception e1 changes slots of service a already`,
		`f.ini:50: [exception e3] scope: there is no service zz`,
		`f.ini:53: [exception e3] reason: the value is empty`,
		`f.ini:57: [exception e4] key: target t2 has no key "address" that an exception may change`,
		`f.ini:61: [exception e4] expires: "tomorrow" is not a time such as 2030-01-31T12:00:00Z`,
		`f.ini:65: [exception e5] value: "never" is not a duration such as 250ms or 10s`,
		`f.ini:68: [exception e5] the line is neither a section, a key with a value nor a comment`,
		`f.ini:69: the section header has no closing bracket`,
	})
}

// The scheduler treats these values as not set if they are 0, so Parse rejects 0.
func TestParseRejectsZeroLimits(t *testing.T) {
	src := "[service a]\nqueue_limit = 0\ncaller_share = 0\nlong_share = 0\nretry_share = 0\n"
	_, problems := Parse("f.ini", []byte(src))
	var texts []string
	for _, p := range problems {
		texts = append(texts, p.Error())
	}
	qt.Assert(t, texts, qt.DeepEquals, []string{
		`f.ini:2: [service a] queue_limit: 0 is not between 1 and 1000000`,
		`f.ini:3: [service a] caller_share: must be above 0`,
		`f.ini:4: [service a] long_share: must be above 0`,
	})
}

func TestEffective(t *testing.T) {
	c := mustParse(t, valid)
	expiry := time.Date(2030, 7, 31, 23, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		desc string
		now  time.Time
		want int
		next time.Time
	}{
		{"before the expiry", expiry.Add(-time.Nanosecond), 900, expiry},
		{"at the expiry", expiry, 256, time.Time{}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			qt.Assert(t, c.Effective(test.now).Services[0].QueueLimit, qt.Equals, test.want)
			qt.Assert(t, c.NextExpiry(test.now), qt.Equals, test.next)
			qt.Assert(t, c.Services[0].QueueLimit, qt.Equals, 256, qt.Commentf("the configuration itself is unchanged"))
		})
	}
}
