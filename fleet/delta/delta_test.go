package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

func TestDeltaReproducesTheText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sections := rapid.SliceOf(rapid.SampledFrom([]string{"[a]\n", "[b]\nx = 1\n", "[b]\nx = 2\n\n", "; note\n", "\n", "x", "[", "{", `{"a":1},`, `{"b":{"c":2}}`}))
		from := []byte(strings.Join(sections.Draw(t, "from"), ""))
		to := []byte(strings.Join(sections.Draw(t, "to"), ""))
		for _, f := range []Format{INI, JSON} {
			got, err := Make(from, to, f).Apply(from, f)
			if err != nil || !bytes.Equal(got, to) {
				t.Fatalf("got %q, %v", got, err)
			}
		}
	})
}

// TestDeltaCopiesRunsOfRepeatedObjects guards against a difference that is as long as the
// text, because objects that occur more than once end each run of copied ones.
func TestDeltaCopiesRunsOfRepeatedObjects(t *testing.T) {
	var routes []string
	for i := range 1000 {
		routes = append(routes, fmt.Sprintf(`{"match":{"prefix":"/%d/"},"action":{"service":"s","timeout-s":2}}`, i))
	}
	from := []byte(`{"policy":[` + strings.Join(routes, ",") + `]}`)
	routes[500] = strings.Replace(routes[500], `"s"`, `"other"`, 1)
	to := []byte(`{"policy":[` + strings.Join(append(routes, routes[0]), ",") + `]}`)
	d := Make(from, to, JSON)
	qt.Assert(t, len(d.Edits) <= 8, qt.IsTrue, qt.Commentf("%d edits", len(d.Edits)))
	got, err := d.Apply(from, JSON)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(got, to), qt.IsTrue)
}

func TestDeltaRefusesAnotherBase(t *testing.T) {
	from, to := []byte("[a]\nx = 1\n[b]\n"), []byte("[a]\nx = 1\n[c]\n")
	d := Make(from, to, INI)
	for _, base := range []string{"", "[a]\nx = 2\n[b]\n"} {
		_, err := d.Apply([]byte(base), INI)
		qt.Assert(t, errors.Is(err, ErrMismatch), qt.IsTrue, qt.Commentf("%q", base))
	}
	_, err := Delta{Edits: []Edit{{First: 1, Count: 1 << 62}}}.Apply(from, INI)
	qt.Assert(t, errors.Is(err, ErrMismatch), qt.IsTrue)
}

func TestInflateIsBounded(t *testing.T) {
	text := []byte(strings.Repeat("[service a]\n", 1000))
	data, err := Deflate(text)
	qt.Assert(t, err, qt.IsNil)
	back, err := Inflate(data)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, back, qt.DeepEquals, text)
	_, err = Deflate(make([]byte, MaxTextBytes+1))
	qt.Assert(t, errors.Is(err, ErrTextSize), qt.IsTrue)
	_, err = Inflate([]byte("not compressed"))
	qt.Assert(t, err, qt.IsNotNil)
}

// plannedText returns the text of a configuration of the planned size. The
// target with the index changed has another port; -1 changes none.
func plannedText(changed int) []byte {
	var b bytes.Buffer
	rng := rand.New(rand.NewPCG(1, 0))
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
			i, i%1600, rng.IntN(256), rng.IntN(256), rng.IntN(256), port, i%8)
	}
	return b.Bytes()
}

// BenchmarkDeltaAtPlannedSize measures computing and applying the delta of one
// changed target in a configuration of 51,000 targets, 18,000 routes and 1,600
// services.
func BenchmarkDeltaAtPlannedSize(b *testing.B) {
	from, to := plannedText(-1), plannedText(20000)
	packed, err := Deflate(to)
	qt.Assert(b, err, qt.IsNil)
	encoded, err := cbor.Marshal(Make(from, to, INI))
	qt.Assert(b, err, qt.IsNil)
	for b.Loop() {
		_, err := Make(from, to, INI).Apply(from, INI)
		qt.Assert(b, err, qt.IsNil)
	}
	b.ReportMetric(float64(len(to)), "text-bytes")
	b.ReportMetric(float64(len(packed)), "deflated-bytes")
	b.ReportMetric(float64(len(encoded)), "delta-bytes")
}
