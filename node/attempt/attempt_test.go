package attempt

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/exchange"
	"filbertmill.example/pool"
)

// TestShortageOfMemoryIsNotTheTargetsFault guards against targets that are judged by
// answers for which this node had no memory.
func TestShortageOfMemoryIsNotTheTargetsFault(t *testing.T) {
	f := &exchange.Failure{Stage: exchange.StageReceive, Cause: exchange.CauseNoMemory}
	qt.Check(t, Verdict(f), qt.Equals, pool.VerdictCancelled)
	f.Cause = exchange.CauseMalformed
	qt.Check(t, Verdict(f), qt.Equals, pool.VerdictTruncated)
}
