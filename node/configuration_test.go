package node

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/fleet"
)

// BenchmarkParseAtPlannedSize parses a configuration of 51,000 targets, 18,000
// routes and 1,600 services, as every node does with each change.
func BenchmarkParseAtPlannedSize(b *testing.B) {
	var text bytes.Buffer
	for i := range 1600 {
		fmt.Fprintf(&text, "[service service-%d]\nslots = %d\n\n", i, 2+i%2*4)
	}
	for i := range 18000 {
		fmt.Fprintf(&text, "[route route-%d]\nprefix = /path-%d\nservice = service-%d\n\n", i, i, i%1600)
	}
	for i := range 51000 {
		fmt.Fprintf(&text, "[target target-%d]\nservice = service-%d\naddress = 10.%d.%d.%d:8080\navailability_zone = zone-%d\n\n",
			i, i%1600, i/65536, i/256%256, i%256, i%8)
	}
	d := fleet.Document{Version: fleet.Version{Revision: 1, ChangeID: "x"}, Text: text.Bytes()}
	b.ReportAllocs()
	for b.Loop() {
		cfg, err := parseDocument(d)
		qt.Assert(b, err, qt.IsNil)
		newRouteTable(cfg)
		serviceLoads(cfg)
	}
}

func TestEqualFilesGiveEqualVersions(t *testing.T) {
	parse := func(text string) *dynamic.Config {
		cfg, problems := dynamic.Parse("f.ini", []byte(text))
		qt.Assert(t, problems, qt.HasLen, 0)
		return cfg
	}
	a := initialDocument(parse("[service a]\nslots = 2\n"))
	b := initialDocument(parse("; a comment\n[service a]\n\nslots = 2\n"))
	other := initialDocument(parse("[service a]\nslots = 3\n"))
	qt.Assert(t, a.Version, qt.Equals, b.Version)
	qt.Assert(t, a.Version == other.Version, qt.IsFalse)
	qt.Assert(t, a.Version.Revision, qt.Equals, int64(1))
	qt.Assert(t, initialDocument(&dynamic.Config{}), qt.IsNil)

	cfg, err := parseDocument(fleet.Document{Version: fleet.Version{Revision: 7, ChangeID: "x"}, Text: a.Text})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cfg.Revision, qt.Equals, dynamic.Revision(7))
	_, err = parseDocument(fleet.Document{Text: []byte("[service a]\nslotz = 2\n")})
	qt.Assert(t, err, qt.ErrorMatches, ".*slotz.*")
}
