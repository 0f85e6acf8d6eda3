package content

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
)

// configurationOf returns a configuration of the platform with n routes, of which the
// changed ones go to another service.
func configurationOf(n, changed int) []byte {
	rng := rand.New(rand.NewPCG(1, 0))
	var list []string
	for i := range n {
		service := "x7d2"
		if i < changed {
			service = "q81b"
		}
		list = append(list, fmt.Sprintf(`{"name":"r%d","kind":"safe","slo-s":1.2,"priority":2,"match":{"prefix":"/%08x/%x/"},"action":{"service":%q,"timeout-s":2,"attempts":2}}`,
			i, rng.Uint32(), rng.IntN(4096), service))
	}
	return []byte(`{"listeners":[{"host":"h","policy":[` + strings.Join(list, ",") + `]}]}`)
}

// BenchmarkValue encodes and decodes the largest configuration that the store takes.
func BenchmarkValue(b *testing.B) {
	const routes = 6400
	value := configurationOf(routes, 0)
	for name, base := range map[string][]byte{
		"whole": nil, "one route changed": configurationOf(routes, 1), "1,648 routes more": configurationOf(routes-1648, 0),
	} {
		b.Run("encode "+name, func(b *testing.B) {
			var blob Blob
			for b.Loop() {
				blob, _ = EncodeValue(base, value)
			}
			b.ReportMetric(float64(len(value)), "value-bytes")
			b.ReportMetric(float64(len(blob.Data)), "encoded-bytes")
		})
		b.Run("decode "+name, func(b *testing.B) {
			blob, err := EncodeValue(base, value)
			qt.Assert(b, err, qt.IsNil)
			for b.Loop() {
				_, err := DecodeValue(base, blob.Data)
				qt.Assert(b, err, qt.IsNil)
			}
		})
	}
}

// BenchmarkList encodes and decodes the entries of targets, up to the planned size.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{510, 5100, 51_000} {
		rng := rand.New(rand.NewPCG(1, 0))
		var items []platform.Item
		for i := range n {
			value := fmt.Sprintf(`{"address":"10.%d.%d.%d:8103","born":%d,"info":{"service":"s%d","zone":"z%d","version":"v1","slots":6},"status":{"state":"ready","seq":%d,"cold-left-s":0}}`,
				i>>16, i>>8&255, i&255, 1_790_000_000_000+rng.Int64N(1e9), i%1600, i%8, rng.IntN(500))
			items = append(items, platform.Item{Key: fmt.Sprintf("servers/i-%010x", rng.Uint64()>>24), Value: []byte(value), Revision: platform.Revision(i + 1)})
		}
		b.Run(fmt.Sprintf("encode %d", n), func(b *testing.B) {
			var blob Blob
			for b.Loop() {
				blob, _ = EncodeList(items)
			}
			b.ReportMetric(float64(len(blob.Data)), "encoded-bytes")
		})
		b.Run(fmt.Sprintf("decode %d", n), func(b *testing.B) {
			blob, err := EncodeList(items)
			qt.Assert(b, err, qt.IsNil)
			for b.Loop() {
				_, err := DecodeList[platform.Item](blob.Data)
				qt.Assert(b, err, qt.IsNil)
			}
		})
	}
}
