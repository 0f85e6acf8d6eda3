package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestQuestionsOpenAtOnceFailOnce guards against a home that is not asked for
// many seconds because several questions to it were open when it was late once:
// nodes then disagree on the home for as long.
func TestQuestionsOpenAtOnceFailOnce(t *testing.T) {
	c := qt.New(t)
	f, register := newLone(t)
	register("n0", "n1")
	for range 10 {
		f.Suspect("n1")
	}
	c.Check(f.down["n1"].wait, qt.Equals, downMin)
	f.down["n1"].until = time.Now()
	for range 10 {
		f.Suspect("n1")
	}
	c.Check(f.down["n1"].wait, qt.Equals, 2*downMin, qt.Commentf("asked in vain a second time"))
}
