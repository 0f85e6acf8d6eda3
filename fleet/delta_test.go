package fleet

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

func TestDeltaReproducesTheText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sections := rapid.SliceOf(rapid.SampledFrom([]string{"[a]\n", "[b]\nx = 1\n", "[b]\nx = 2\n\n", "; note\n", "\n", "x", "["}))
		from := []byte(strings.Join(sections.Draw(t, "from"), ""))
		to := []byte(strings.Join(sections.Draw(t, "to"), ""))
		got, err := diffText(from, to).apply(from)
		if err != nil || !bytes.Equal(got, to) {
			t.Fatalf("got %q, %v", got, err)
		}
	})
}

func TestDeltaRefusesAnotherBase(t *testing.T) {
	from, to := []byte("[a]\nx = 1\n[b]\n"), []byte("[a]\nx = 1\n[c]\n")
	d := diffText(from, to)
	for _, base := range []string{"", "[a]\nx = 2\n[b]\n"} {
		_, err := d.apply([]byte(base))
		qt.Assert(t, errors.Is(err, errDelta), qt.IsTrue, qt.Commentf("%q", base))
	}
	_, err := delta{Edits: []edit{{First: 1, Count: 1 << 62}}}.apply(from)
	qt.Assert(t, errors.Is(err, errDelta), qt.IsTrue)
}

func TestInflateIsBounded(t *testing.T) {
	text := []byte(strings.Repeat("[service a]\n", 1000))
	data, err := deflate(text)
	qt.Assert(t, err, qt.IsNil)
	back, err := inflate(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, back, qt.DeepEquals, text)
	_, err = deflate(make([]byte, maxTextBytes+1))
	qt.Assert(t, errors.Is(err, errTextSize), qt.IsTrue)
	_, err = inflate([]byte("not compressed"))
	qt.Assert(t, err, qt.IsNotNil)
}

// plannedText returns the text of a configuration of the planned size. The
// target with the index changed has another port; -1 changes none.
func plannedText(changed int) []byte {
	var b bytes.Buffer
	for i := range 1600 {
		fmt.Fprintf(&b, "[service service-%d]\nslots = %d\n\n", i, 2+i%2*4)
	}
	for i := range 18000 {
		fmt.Fprintf(&b, "[route route-%d]\nprefix = /path-%d\nservice = service-%d\n\n", i, i, i%1600)
	}
	for i := range 51000 {
		port := 8080
		if i == changed {
			port = 8081
		}
		fmt.Fprintf(&b, "[target target-%d]\nservice = service-%d\naddress = 10.%d.%d.%d:%d\navailability_zone = zone-%d\n\n",
			i, i%1600, mix(uint64(i))%256, mix(uint64(i)+1)%256, mix(uint64(i)+2)%256, port, i%8)
	}
	return b.Bytes()
}

// BenchmarkDeltaAtPlannedSize measures computing and applying the delta of one
// changed target in a configuration of 51,000 targets, 18,000 routes and 1,600
// services.
func BenchmarkDeltaAtPlannedSize(b *testing.B) {
	from, to := plannedText(-1), plannedText(20000)
	packed, err := deflate(to)
	qt.Assert(b, err, qt.IsNil)
	encoded, err := cbor.Marshal(diffText(from, to))
	qt.Assert(b, err, qt.IsNil)
	for b.Loop() {
		_, err := diffText(from, to).apply(from)
		qt.Assert(b, err, qt.IsNil)
	}
	b.ReportMetric(float64(len(to)), "text-bytes")
	b.ReportMetric(float64(len(packed)), "deflated-bytes")
	b.ReportMetric(float64(len(encoded)), "delta-bytes")
}
