package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
)

// A caller must not receive the result of an attempt that was not run if an
// earlier attempt may have been run.
func TestCombine(t *testing.T) {
	const (
		answered = outcome.ReasonAnswered
		refusal  = outcome.ReasonTargetRefused
		noTarget = outcome.ReasonNoTarget
		lost     = outcome.ReasonConnectionLost
		homeLost = outcome.ReasonHomeLost
	)
	for _, test := range []struct {
		desc                  string
		earlier, latest, want outcome.Reason
	}{
		{"not run, then answered", refusal, answered, answered},
		{"not run twice", refusal, noTarget, noTarget},
		{"not run, then lost", refusal, lost, lost},
		{"lost, then answered", lost, answered, answered},
		{"lost, then not run", lost, refusal, lost},
		{"lost twice", homeLost, lost, lost},
		{"answered with an error, then not run", answered, noTarget, answered},
		{"answered with an error, then lost", answered, lost, lost},
	} {
		t.Run(test.desc, func(t *testing.T) {
			ended := 0
			latest := refused(test.latest, "")
			latest.onEnd = func(error) { ended++ }
			got := combine(refused(test.earlier, ""), latest)
			qt.Assert(t, got.outcome.Reason, qt.Equals, test.want)
			got.discard(nil)
			qt.Assert(t, ended, qt.Equals, 1, qt.Commentf("the end of the latest attempt is reported once"))
		})
	}
}

// A home that hands a request back must not hide the result of a home that may
// have run it.
func TestAfterHop(t *testing.T) {
	noHome := refused(outcome.ReasonNoHome, "")
	back := refused(outcome.ReasonHomeLost, "another node is the home now")
	back.handedBack = true
	lost := refused(outcome.ReasonHomeLost, "the connection ended")
	full := refused(outcome.ReasonQueueFull, "")
	answered := refused(outcome.ReasonAnswered, "")
	for _, test := range []struct {
		desc string
		hops []result
		want outcome.Reason
		back bool
	}{
		{"handed back by all", []result{back, back}, outcome.ReasonHomeLost, true},
		{"handed back, then answered", []result{back, answered}, outcome.ReasonAnswered, false},
		{"handed back, then not run", []result{back, full}, outcome.ReasonQueueFull, false},
		{"lost, then handed back", []result{lost, back}, outcome.ReasonHomeLost, false},
		{"lost, handed back, then not run", []result{lost, back, full}, outcome.ReasonHomeLost, false},
		{"handed back, lost, then not run", []result{back, lost, full}, outcome.ReasonHomeLost, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			last := noHome
			for _, res := range test.hops {
				res.onEnd = func(error) {}
				last = afterHop(last, res)
			}
			qt.Assert(t, last.outcome.Reason, qt.Equals, test.want)
			qt.Assert(t, last.handedBack, qt.Equals, test.back)
		})
	}
}
