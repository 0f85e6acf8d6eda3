package dynamic

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// configText returns a configuration with the given share of the planned size:
// 1,600 services, 18,000 routes and 51,000 targets.
func configText(share float64) string {
	var b strings.Builder
	services := int(1600 * share)
	for i := range services {
		fmt.Fprintf(&b, "[service s%d]\nslots = 6\n", i)
	}
	for i := range int(18_000 * share) {
		fmt.Fprintf(&b, "[route r%d]\nprefix = /p%d\nservice = s%d\n", i, i, i%services)
	}
	for i := range int(51_000 * share) {
		fmt.Fprintf(&b, "[target t%d]\nservice = s%d\naddress = 10.%d.%d.%d:8080\navailability_zone = z%d\n",
			i, i%services, i>>16, i>>8&255, i&255, i%8)
	}
	return b.String()
}

func BenchmarkParse(b *testing.B) {
	for _, share := range []float64{0.01, 0.1, 1} {
		text := configText(share)
		b.Run(fmt.Sprintf("share=%g", share), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				_, problems := Parse("fleet.ini", []byte(text))
				qt.Assert(b, problems, qt.HasLen, 0)
			}
		})
	}
}
