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

// TestLostConnectionsMayBeCrashes guards against crashes of targets that go unnoticed
// because their answers had begun.
func TestLostConnectionsMayBeCrashes(t *testing.T) {
	for _, test := range []struct {
		stage exchange.Stage
		cause exchange.Cause
		lost  bool
	}{
		{exchange.StageDial, exchange.CauseConnection, false},
		{exchange.StageSend, exchange.CauseConnection, true},
		{exchange.StageAwait, exchange.CauseConnection, true},
		{exchange.StageReceive, exchange.CauseConnection, true},
		{exchange.StageReceive, exchange.CauseMalformed, false},
		{exchange.StageReceive, exchange.CauseTimeout, false},
		{exchange.StageReceive, exchange.CauseCancelled, false},
	} {
		f := &exchange.Failure{Stage: test.stage, Cause: test.cause}
		qt.Check(t, Lost(f), qt.Equals, test.lost, qt.Commentf("%s: %s", test.stage, test.cause))
	}
}
