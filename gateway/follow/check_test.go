package follow

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/gateway/replica"
)

// correctionLimit is the time in which a copy that is wrong has to be whole again, a read
// of the store and the polls that find the difference included.
const correctionLimit = 5 * time.Second

// TestWrongCopyIsReadAnew guards against a node that loses entries by whatever cause and
// goes on without them for good, and against one that passes the loss on to others.
func TestWrongCopyIsReadAnew(t *testing.T) {
	loseAll := func(m *proxiedMember) {
		m.replica.Merge("test", replica.Delta{Through: m.replica.View().Revision, Snapshot: true})
	}
	tests := map[string]func(t *testing.T, fleet *proxiedFleet, relay, other *proxiedMember){
		"a node loses all entries":  func(_ *testing.T, _ *proxiedFleet, _, other *proxiedMember) { loseAll(other) },
		"a relay loses all entries": func(_ *testing.T, _ *proxiedFleet, relay, _ *proxiedMember) { loseAll(relay) },
		"a node misses a change": func(t *testing.T, fleet *proxiedFleet, _, other *proxiedMember) {
			other.replica.Merge("test", replica.Delta{Through: other.replica.View().Revision + 1})
			time.Sleep(otherZoneWait + pollGrace) // until all polls ask for later changes only
			put(t, fleet.client, 2)
		},
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := startProxiedFleet(t, 6)
			relays, others := fleet.relays()
			lose(t, fleet, relays[0], others[0])
			version := fleet.standin.Store.Revision()
			await(t, "all copies are whole", correctionLimit, func() bool {
				return !slices.ContainsFunc(fleet.members, func(m *proxiedMember) bool {
					view := m.replica.View()
					return !m.lists("leased") || len(view.Nodes) != 6 || view.Revision < version ||
						view.Checksum != relays[1].replica.View().Checksum
				})
			})
		})
	}
}

// TestDifferentCopyIsNotConfirmed guards against a node that takes its copy for current by
// the answer of a relay that has another one.
func TestDifferentCopyIsNotConfirmed(t *testing.T) {
	relay := serveRelay(t, func(ctx context.Context, _ changesRequest) changesReply {
		sleep(ctx, seedTimeout)
		return changesReply{Through: 5, Differs: true}
	})
	f := newBareFollower(t, "n1", "b")
	f.cfg.Replica.Replace("test", nil, 5, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 5*seedTimeout)
	defer cancel()
	_ = f.pollRelay(ctx, relay, sameZoneWait)
	qt.Check(t, f.CopyAge() >= neverConfirmed, qt.IsTrue, qt.Commentf("%s", f.CopyAge()))
	qt.Check(t, f.mustRead(), qt.IsTrue, qt.Commentf("several answers said so"))
}
