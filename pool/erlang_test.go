package pool

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestWaitProbabilityMatchesErlangTables(t *testing.T) {
	tests := []struct {
		slots int
		load  float64
		want  float64
	}{
		{1, 0.5, 0.5},
		{2, 1, 1.0 / 3},
		{10, 5, 0.0361},
	}
	for _, test := range tests {
		got := waitProbability(test.slots, test.load)
		qt.Check(t, math.Abs(got-test.want) < 1e-3, qt.IsTrue, qt.Commentf("%d slots, load %v: %v", test.slots, test.load, got))
	}
	qt.Check(t, quantileWait(16, 1), qt.Equals, 0.0)
	qt.Check(t, math.IsInf(quantileWait(2, 3), 1), qt.IsTrue)
}
