package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A new home must send no request to a target before its first probe was answered
// or InitialProbeWait has passed, and none to a target that announces its leaving.
func TestInitialProbe(t *testing.T) {
	const wait = 150 * time.Millisecond
	tests := []struct {
		desc   string
		answer *Observation // of the first target; the second answers well
		after  time.Duration
		first  bool // whether the first target gets work
	}{
		{desc: "seen", answer: &Observation{Reachable: true}, first: true},
		{desc: "leaving", answer: &Observation{Reachable: true, Leaving: true}},
		{desc: "not answered yet", after: wait / 2},
		{desc: "never answered", after: wait, first: true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			h, r := newTestHome(Config{InitialProbeWait: wait})
			submitN(h, epoch, 1, 4)
			c.Assert(r.started, qt.HasLen, 0)
			now := epoch.Add(tt.after)
			targets := twoTargets()
			if tt.answer != nil {
				tt.answer.Target = targets[0].Name
				h.Observe(now, *tt.answer)
			}
			h.Observe(now, Observation{Target: targets[1].Name, Reachable: true})
			h.Tick(now)
			got := false
			for _, name := range r.started {
				got = got || name == targets[0].Name
			}
			c.Check(got, qt.Equals, tt.first)
			c.Check(len(r.started) >= 2, qt.IsTrue)
		})
	}
}
