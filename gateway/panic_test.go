package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/gateway/balance"
)

// TestPanicOfAnAttemptEndsIt guards against a fault in the work on one request
// that ends the process: attempts run on goroutines of their own.
func TestPanicOfAnAttemptEndsIt(t *testing.T) {
	n := &Node{log: hclog.NewNullLogger(), stats: newStats()}
	before := n.stats.panics.Value()
	e := n.runAttempt(t.Context(), &request{}, attemptPlan{}, func(balance.Grant) {})
	qt.Check(t, e.failed, qt.IsTrue)
	qt.Check(t, e.notRun, qt.IsTrue, qt.Commentf("no target was granted"))
	qt.Check(t, n.stats.panics.Value(), qt.Equals, before+1)
}
