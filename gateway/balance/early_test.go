package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/outcome"
	"filbertmill.example/platform"
)

// TestAttemptsBeforeTheFirstViewWait guards against requests that are refused for
// lack of targets right after the start of a node, when the node has a configuration
// before its Loop does. A cancelled attempt occupies no slot, and no attempt waits
// longer than firstViewTimeout allows.
func TestAttemptsBeforeTheFirstViewWait(t *testing.T) {
	l := New(Config{Log: hclog.NewNullLogger()})
	go l.Run(t.Context())
	grants := make(chan Grant, 3)
	attempt := func(n uint64) Attempt {
		return Attempt{ID: ID{Number: n}, Service: "s", Route: "r", TimeLeft: time.Minute, SoftTimeLeft: time.Minute}
	}
	l.Submit(attempt(1), func(g Grant) { grants <- g })
	l.Submit(attempt(2), func(Grant) { t.Error("a cancelled attempt was answered") })
	l.Cancel("s", ID{Number: 2})
	l.SetView(&replica.View{})
	l.SetView(&replica.View{Config: &dynamic.Config{}, Targets: map[string][]platform.Target{"s": {{ID: "t0", Service: "s", Slots: 1}}}})
	qt.Check(t, (<-grants).Target, qt.Not(qt.Equals), "")

	late := New(Config{Log: hclog.NewNullLogger()})
	go late.Run(t.Context())
	late.Submit(attempt(3), func(g Grant) { grants <- g })
	start := time.Now()
	qt.Check(t, (<-grants).Reason, qt.Equals, outcome.ReasonNoConfiguration)
	qt.Check(t, time.Since(start) < 2*firstViewTimeout, qt.IsTrue)
}
