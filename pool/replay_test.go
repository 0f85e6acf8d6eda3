package pool_test

import (
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/pool"
	"filbertmill.example/pool/internal/drive"
)

// replaySeed seeds the random choices of the scheduler and of the scripted targets.
const replaySeed = 1

func TestReplay(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(paths) >= 12, qt.IsTrue)
	for _, path := range paths {
		tr, err := drive.Read(path)
		qt.Assert(t, err, qt.IsNil)
		t.Run(tr.Name, func(t *testing.T) {
			for _, v := range variants {
				opts := v.opts(replaySeed)
				opts.Absolve = tr.Absolve
				rep := drive.Run(tr, opts)
				t.Logf("%-6s answered in time %d of %d; refused %d, failed %d; ejections %d, false %d",
					v.name, rep.InTime, rep.Offered, rep.Refused, rep.Failed, len(rep.Ejections), rep.FalseEjections())
				if v.name == "home" {
					checkExpect(t, tr.Expect, rep)
				}
			}
		})
	}
}

// checkExpect compares a report with the outcome that the trace states.
func checkExpect(t *testing.T, e drive.Expect, rep *drive.Report) {
	c := qt.New(t)
	for _, out := range e.MustLeave {
		after, _, ok := rep.EjectedByMajority(out.Target, rep.FirstConditionStart(out.Target))
		c.Check(ok, qt.IsTrue, qt.Commentf("%s stays", out.Target))
		c.Check(after <= time.Duration(out.Within), qt.IsTrue, qt.Commentf("%s out after %v", out.Target, after))
		c.Check(rep.Rules(out.Target), qt.Contains, out.Rule)
	}
	for _, quiet := range e.Quiet {
		last := rep.LastSent(quiet.Target, rep.FirstConditionStart(quiet.Target))
		c.Check(last <= time.Duration(quiet.Within), qt.IsTrue, qt.Commentf("%s got work after %v", quiet.Target, last))
	}
	for _, name := range e.ServingAtEnd {
		c.Check(rep.Final[name], qt.Equals, string(pool.StateServing), qt.Commentf(name))
	}
	for _, kind := range e.Kinds {
		c.Check(hasKind(rep, kind), qt.IsTrue, qt.Commentf("no event %s", kind))
	}
	if e.NoOtherEjected {
		c.Check(rep.FalseEjections(), qt.Equals, 0)
	}
	if e.NoneEjected {
		c.Check(rep.Ejections, qt.HasLen, 0)
	}
	if e.MaxEjections > 0 {
		c.Check(len(rep.Ejections) <= e.MaxEjections, qt.IsTrue, qt.Commentf("%d ejections", len(rep.Ejections)))
	}
	share := float64(rep.InTime) / float64(rep.Offered)
	c.Check(share >= e.InTimeShare, qt.IsTrue, qt.Commentf("in time %.4f", share))
	c.Check(rep.FloorViolations, qt.Equals, 0)
}

func hasKind(rep *drive.Report, kind string) bool {
	for _, e := range rep.Events {
		if string(e.Kind) == kind {
			return true
		}
	}
	return false
}

func TestReadNamesFileAndValue(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.jsonl")
	tr := drive.Trace{Name: "bad", Arrivals: make([]drive.Arrival, 3)}
	qt.Assert(t, drive.Write(path, tr), qt.IsNil)
	again, err := drive.Read(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, slices.Equal(again.Arrivals, tr.Arrivals), qt.IsTrue)
	_, err = drive.Read("replay_test.go")
	qt.Assert(t, err, qt.ErrorMatches, "replay_test.go: value 1: .*")
}
