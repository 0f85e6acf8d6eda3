package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/outcome"
)

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
			settled := 0
			latest := refused(test.latest, "")
			latest.settle = func(error) { settled++ }
			got := combine(refused(test.earlier, ""), latest)
			qt.Assert(t, got.outcome.Reason, qt.Equals, test.want)
			got.settled(nil)
			qt.Assert(t, settled, qt.Equals, 1, qt.Commentf("the latest attempt is reported once"))
		})
	}
}
