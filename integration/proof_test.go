package integration

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	namedTest    = regexp.MustCompile("`(Test[A-Za-z0-9]+)`")
	namedTrace   = regexp.MustCompile("traces? `([a-z-]+)`")
	namedMeasure = regexp.MustCompile("`([a-z]+(?:_[a-z0-9]+)+)`")
	testFunc     = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9]+)\(`)
)

// notMeasures are the names on the page that look like measures but are settings,
// rules or expectations of traces.
var notMeasures = []string{"refusal_status", "failure_ratio", "latency_ratio", "never_out"}

// TestProofPageNamesWhatExists guards against a page on proofs that names a test, a
// measure or a trace that was renamed or removed.
func TestProofPageNamesWhatExists(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/PROOF.md")
	c.Assert(err, qt.IsNil)
	tests := make(map[string]bool)
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		src, err := os.ReadFile(path)
		for _, m := range testFunc.FindAllSubmatch(src, -1) {
			tests[string(m[1])] = true
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	named := namedTest.FindAllSubmatch(page, -1)
	c.Assert(len(named) > 50, qt.IsTrue)
	for _, m := range named {
		c.Check(tests[string(m[1])], qt.IsTrue, qt.Commentf("%s", m[1]))
	}

	measures, err := os.ReadFile("../measure/figure.go")
	c.Assert(err, qt.IsNil)
	for _, m := range namedMeasure.FindAllSubmatch(page, -1) {
		if name := string(m[1]); !slices.Contains(notMeasures, name) {
			c.Check(string(measures), qt.Contains, `"`+name+`"`)
		}
	}
	for _, m := range namedTrace.FindAllSubmatch(page, -1) {
		_, err := os.Stat("../pool/testdata/" + string(m[1]) + ".jsonl")
		c.Check(err, qt.IsNil)
	}
}
