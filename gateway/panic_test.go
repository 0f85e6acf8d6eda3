package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/gateway/balance"
)

// TestPanicFailsOnlyItsAttempt guards against a fault in one request that ends the
// process: attempts run in goroutines of their own, where a panic is not recovered
// by the server.
func TestPanicFailsOnlyItsAttempt(t *testing.T) {
	n := &Node{log: hclog.NewNullLogger(), stats: newStats()}
	before := n.stats.panics.Value()
	res := n.runAttempt(t.Context(), &request{}, attemptPlan{}, func(balance.Grant) {})
	qt.Check(t, res.failed, qt.IsTrue)
	qt.Check(t, res.notRun, qt.IsTrue, qt.Commentf("no target was granted"))
	qt.Check(t, n.stats.panics.Value(), qt.Equals, before+1)
}
