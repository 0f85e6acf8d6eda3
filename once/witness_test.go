package once_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/once"
)

// TestWitness sends messages to one witness in the given order and checks the answer
// to the last.
func TestWitness(t *testing.T) {
	self := once.Member{Name: "b", Incarnation: 7}
	earlierRun := once.Member{Name: "b", Incarnation: 6}
	holder := once.Member{Name: "a", Incarnation: 1}
	rival := once.Member{Name: "c", Incarnation: 2}
	install := func(e once.Epoch, h once.Member) once.Install { return once.Install{Epoch: e, Holder: h} }
	intent := func(e once.Epoch, seq uint64) once.Intent {
		return once.Intent{Key: "k", Claim: once.Claim{Epoch: e, Sequence: seq}}
	}
	release := func(e once.Epoch, seq uint64) once.Release {
		return once.Release{Key: "k", Claim: once.Claim{Epoch: e, Sequence: seq}}
	}
	done := func(e once.Epoch, seq uint64) once.Done {
		return once.Done{Key: "k", Claim: once.Claim{Epoch: e, Sequence: seq}}
	}

	known := install(2, holder)
	known.Copy.Records = []once.Record{{Key: "k", Claim: once.Claim{Epoch: 1, Sequence: 5}, Left: time.Hour}}

	for _, test := range []struct {
		desc     string
		to       once.Member
		messages []once.Message
		want     once.Status
		keys     int
	}{
		{"an intent of the tenure", self, []once.Message{install(1, holder), intent(1, 1)}, once.StatusAccepted, 1},
		{"an intent before the copy", self, []once.Message{intent(1, 1)}, once.StatusSealed, 0},
		{"an intent after a seal", self, []once.Message{install(1, holder), once.Seal{Epoch: 2, Holder: rival}, intent(1, 1)}, once.StatusSealed, 0},
		{"an intent of a tenure without its copy here", self, []once.Message{install(1, holder), once.Seal{Epoch: 2, Holder: rival}, intent(2, 1)}, once.StatusSealed, 0},
		{"a copy of a lower epoch", self, []once.Message{once.Seal{Epoch: 2, Holder: rival}, install(1, holder)}, once.StatusSealed, 0},
		{"a copy that is installed again", self, []once.Message{install(1, holder), intent(1, 1), install(1, holder)}, once.StatusSealed, 1},
		{"two holders with one epoch", self, []once.Message{install(1, holder), once.Seal{Epoch: 1, Holder: rival}}, once.StatusSealed, 0},
		{"the holder's seal again", self, []once.Message{once.Seal{Epoch: 1, Holder: rival}, once.Seal{Epoch: 1, Holder: rival}}, once.StatusAccepted, 0},
		{"a message to an earlier run", earlierRun, []once.Message{install(1, holder)}, once.StatusRestarted, 0},
		{"a question to any run", earlierRun, []once.Message{once.Enlist{}}, once.StatusAccepted, 0},
		{"a release", self, []once.Message{install(1, holder), intent(1, 1), release(1, 1)}, once.StatusAccepted, 0},
		{"a release that arrives late", self, []once.Message{install(1, holder), intent(1, 1), intent(1, 2), release(1, 1)}, once.StatusSealed, 1},
		{"an intent that arrives late", self, []once.Message{install(1, holder), intent(1, 2), intent(1, 1), release(1, 2)}, once.StatusAccepted, 0},
		{"a claim of a later epoch", self, []once.Message{install(1, holder), known, intent(2, 1), release(2, 1)}, once.StatusAccepted, 0},
		{"an end of another claim", self, []once.Message{install(1, holder), intent(1, 2), done(1, 1)}, once.StatusSealed, 1},
		{"a release after the end", self, []once.Message{install(1, holder), intent(1, 1), done(1, 1), release(1, 1)}, once.StatusSealed, 1},
		{"an end after a seal", self, []once.Message{install(1, holder), intent(1, 1), once.Seal{Epoch: 2, Holder: rival}, done(1, 1)}, once.StatusAccepted, 1},
	} {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w := once.NewWitness(once.DefaultConfig(), self)
			var a once.Ack
			for _, m := range test.messages {
				a = w.Receive(start, test.to, m)
			}
			c.Assert(a.Status, qt.Equals, test.want)
			c.Assert(a.Member, qt.Equals, self)
			c.Assert(w.Len(), qt.Equals, test.keys)
		})
	}
}

func TestWitnessForgetsAfterTheHome(t *testing.T) {
	c := qt.New(t)
	cfg := once.DefaultConfig()
	self := once.Member{Name: "b", Incarnation: 7}
	holder := once.Member{Name: "a", Incarnation: 1}
	w := once.NewWitness(cfg, self)
	w.Receive(start, self, once.Install{Epoch: 1, Holder: holder})
	w.Receive(start, self, once.Intent{Key: "k", Claim: once.Claim{Epoch: 1, Sequence: 1}})

	a := w.Receive(start.Add(cfg.Retention), self, once.Seal{Epoch: 2, Holder: holder})
	c.Assert(a.Copy.Records, qt.HasLen, 1)
	a = w.Receive(start.Add(cfg.Retention+time.Minute), self, once.Seal{Epoch: 3, Holder: holder})
	c.Assert(a.Copy.Records, qt.HasLen, 0)
}
