package fleet

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/platform"
	"filbertmill.example/testbed/memory"
)

// inForceLimit is the longest allowed time until a change is in force on all
// nodes.
const inForceLimit = 5 * time.Second

func TestChangeIsInForceEverywhere(t *testing.T) {
	inFleet(t, 48, func(t *testing.T, f *testFleet) {
		var worst time.Duration
		for revision := int64(2); revision < 22; revision++ {
			f.put(revision, "text")
			worst = max(worst, f.awaitRevision(revision, inForceLimit))
			time.Sleep(time.Second)
		}
		t.Logf("in force on all after at most %v", worst)
	})
}

// TestChangeIsInForceWhenWatchersDieJustAfterIt guards against a change that
// stays unknown to the fleet when all watchers of the store crash immediately
// before it. The other nodes must find it by polling the store, or as new
// watchers.
func TestChangeIsInForceWhenWatchersDieJustAfterIt(t *testing.T) {
	inFleet(t, 24, func(t *testing.T, f *testFleet) {
		killed := 0
		for revision := int64(2); revision < 6; revision++ {
			var watchers []int
			for i := range 24 {
				if n, ok := f.nodes[testPeer(i).Name]; ok && n.isWatching(t) {
					watchers = append(watchers, i)
				}
			}
			qt.Assert(t, watchers, qt.HasLen, watchersPerRegion)
			for _, i := range watchers {
				f.crash(i)
			}
			killed += len(watchers)
			f.put(revision, "text")
			f.awaitRevision(revision, inForceLimit)
			f.awaitAlive(24-killed, time.Minute)
		}
	})
}

func (n *testNode) isWatching(t *testing.T) bool {
	t.Helper()
	watching, err := query(t.Context(), n.agent, func(time.Time) bool { return n.agent.watch != nil })
	qt.Assert(t, err, qt.IsNil)
	return watching
}

// TestRestoredOlderStoreIsNotFollowed guards against a return to an older
// configuration after the store has been restored from a backup.
func TestRestoredOlderStoreIsNotFollowed(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *testFleet) {
		f.put(2, "second")
		f.awaitRevision(2, inForceLimit)
		backup := f.store.Copy()
		f.put(3, "third")
		f.awaitRevision(3, inForceLimit)

		f.store.Restore(backup)
		time.Sleep(time.Minute)
		f.start(8)
		f.awaitRevision(3, 30*time.Second)
		// In the restored store, the next change may get the same revision as a
		// lost one.
		f.put(4, "after the restore")
		f.awaitRevision(4, inForceLimit)
	})
}

func TestInvalidDocumentIsRefused(t *testing.T) {
	inFleet(t, 6, func(t *testing.T, f *testFleet) {
		f.put(2, "invalid")
		time.Sleep(10 * time.Second)
		f.awaitRevision(1, 0)
		f.put(3, "valid")
		f.awaitRevision(3, inForceLimit)
	})
}

func TestJoinAndRestartWhileThePlatformIsUnavailable(t *testing.T) {
	inFleet(t, 12, func(t *testing.T, f *testFleet) {
		f.put(2, "second")
		f.awaitRevision(2, inForceLimit)
		f.store.SetFaults(memory.Faults{Unavailable: true})
		f.hosts.SetFaults(memory.Faults{Unavailable: true})
		before := f.store.Calls().Total()
		for i := range 6 {
			time.Sleep(5 * time.Minute)
			f.crash(2 + i)
			f.start(2 + i)
			f.start(20 + i)
			f.awaitRevision(2, 30*time.Second)
		}
		f.awaitAlive(18, time.Minute)
		calls := f.store.Calls().Total() - before
		t.Logf("%d calls to the store in 30 minutes in which it was unavailable", calls)

		// When the store is available again, the calls stay within the budget of
		// watches and polls.
		before = f.store.Calls().Total()
		f.store.SetFaults(memory.Faults{})
		f.hosts.SetFaults(memory.Faults{})
		time.Sleep(10 * time.Second)
		calls = f.store.Calls().Total() - before
		t.Logf("%d calls in the first 10 s after it became available", calls)
		qt.Assert(t, calls <= 30, qt.IsTrue, qt.Commentf("%d calls", calls))
		f.put(3, "third")
		f.awaitRevision(3, inForceLimit)
	})
}

func TestFreshNodeWithoutPeersOrStoreIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		f.store.SetFaults(memory.Faults{Unavailable: true})
		n := f.start(3)
		defer f.stop()
		time.Sleep(time.Minute)
		r := n.agent.Ready()
		qt.Assert(t, r.Ready, qt.IsFalse)
		qt.Assert(t, r.Reason, qt.Matches, "neither a peer nor the store can be reached: .*platform not available")
		f.store.SetFaults(memory.Faults{})
		f.put(1, "first")
		f.awaitRevision(1, 30*time.Second)
	})
}

// TestRestartNeverGoesBackWithAnOlderPeer guards against a restarted node that
// takes the configuration of a single peer that was partitioned for a long
// time.
func TestRestartNeverGoesBackWithAnOlderPeer(t *testing.T) {
	inFleet(t, 6, func(t *testing.T, f *testFleet) {
		// Node 1 is partitioned and stays at revision 1. Node 5 restarts while
		// the store is unavailable and node 1 is the only node that it reaches.
		// It must not bring the older revision into force.
		f.net.setCut(func(from, to string) bool { return from == "node-01" || to == "node-01" })
		f.put(2, "second")
		f.await("revision 2", inForceLimit, func(n *testNode) bool {
			_, d := n.agent.Configuration()
			return d.Version.Revision == 2 || n.agent.cfg.Self.Name == "node-01"
		})
		f.store.SetFaults(memory.Faults{Unavailable: true})
		f.crash(5)
		old := func(name string) bool { return name == "node-01" || name == "node-05" }
		f.net.setCut(func(from, to string) bool { return old(from) != old(to) })
		restarted := f.start(5)
		time.Sleep(time.Minute)
		qt.Assert(t, restarted.agent.Ready().Reason, qt.Matches, "1 of 3 peers needed have answered.*")
		_, d := restarted.agent.Configuration()
		qt.Assert(t, d.Version.Revision, qt.Equals, int64(0))

		f.net.setCut(nil)
		f.awaitRevision(2, time.Minute)
	})
}

func TestCrashedMemberIsNoticedAndReturns(t *testing.T) {
	inFleet(t, 12, func(t *testing.T, f *testFleet) {
		f.crash(7)
		f.awaitAlive(11, 15*time.Second)
		f.start(7)
		f.awaitAlive(12, 15*time.Second)
	})
}

// TestOneWayLinkFaultMakesNoMemberSuspect guards against suspecting a member
// that only one other member cannot reach.
func TestOneWayLinkFaultMakesNoMemberSuspect(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *testFleet) {
		f.net.setCut(func(from, to string) bool { return from == "node-02" && to == "node-03" })
		for range 60 {
			time.Sleep(time.Second)
			f.awaitAlive(8, 0)
		}
	})
}

func TestPartitionHeals(t *testing.T) {
	inFleet(t, 10, func(t *testing.T, f *testFleet) {
		minority := func(name string) bool { return name < "node-04" }
		f.net.setCut(func(from, to string) bool { return minority(from) != minority(to) })
		f.await("each side uses its own members only", time.Minute, func(n *testNode) bool {
			v := n.agent.View()
			first := v.Homes("bookings")[0].Name()
			if minority(v.Self) {
				return len(v.avoided) == 6 && minority(first)
			}
			return len(v.Members) == 6 && !minority(first)
		})
		f.put(2, "second")
		f.awaitRevision(2, 15*time.Second)
		time.Sleep(10 * time.Minute)
		f.net.setCut(nil)
		f.awaitAlive(10, 2*time.Minute)
	})
}

func TestUnresponsiveHomeIsAvoidedAtOnceAndTriedAgain(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *testFleet) {
		n := f.nodes["node-00"]
		ranks := names(n.agent.View().Homes("bookings"))
		home := ranks[0]
		if home == "node-00" {
			home = ranks[1]
		}
		n.agent.ReportUnresponsive(home)
		synctest.Wait()
		got := names(n.agent.View().Homes("bookings"))
		qt.Assert(t, got[len(got)-1], qt.Equals, home)
		qt.Assert(t, n.agent.View().Avoids(home), qt.IsTrue)
		time.Sleep(firstAvoidance + time.Second)
		qt.Assert(t, names(n.agent.View().Homes("bookings")), qt.DeepEquals, ranks)
	})
}

func TestLeavingNodeHandsOverItsHomes(t *testing.T) {
	inFleet(t, 8, func(t *testing.T, f *testFleet) {
		home := f.nodes["node-00"].agent.View().Homes("bookings")[0].Name()
		f.nodes[home].agent.Leave(t.Context())
		f.await("the home has moved", 5*time.Second, func(n *testNode) bool {
			return !slices.Contains(names(n.agent.View().Homes("bookings")), home)
		})
		qt.Assert(t, f.nodes[home].agent.Ready().Reason, qt.Equals, "leaving")
	})
}

func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	for _, nodes := range []int{6, 48} {
		inFleet(t, nodes, func(t *testing.T, f *testFleet) {
			const span = 5 * time.Minute
			calls := f.store.Calls().Total() + f.hosts.Calls().Total()
			messages, bytes := f.net.counts()
			time.Sleep(span)
			calls = f.store.Calls().Total() + f.hosts.Calls().Total() - calls
			messagesAfter, bytesAfter := f.net.counts()
			perSecond := float64(calls) / span.Seconds()
			t.Logf("%d nodes: %.2f platform calls/s, %.0f messages and %.0f body bytes a second and node", nodes, perSecond,
				float64(messagesAfter-messages)/span.Seconds()/float64(nodes),
				float64(bytesAfter-bytes)/span.Seconds()/float64(nodes))
			qt.Assert(t, perSecond <= 2, qt.IsTrue, qt.Commentf("%.2f calls a second", perSecond))
		})
	}
}

func TestStatusNamesLaggards(t *testing.T) {
	inFleet(t, 6, func(t *testing.T, f *testFleet) {
		n := f.nodes["node-00"]
		s, err := n.agent.Status(t.Context())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.Members, qt.HasLen, 6)
		qt.Assert(t, s.Homes, qt.HasLen, 3)
		for _, m := range s.Members {
			qt.Assert(t, m.Lagging, qt.IsFalse)
			qt.Assert(t, m.Node.InForce.Revision, qt.Equals, int64(1))
		}
		s.Members[2].Node.InForce = Version{2, "b"}
		s.markLaggards()
		qt.Assert(t, s.Newest, qt.Equals, Version{2, "b"})
		qt.Assert(t, s.Members[1].Lagging, qt.IsTrue)
		qt.Assert(t, s.Members[2].Lagging, qt.IsFalse)
	})
}

// TestListedDepartureMovesHomes checks that a node which the host list reports
// as leaving loses its homes and does not refute that state.
func TestListedDepartureMovesHomes(t *testing.T) {
	inFleet(t, 6, func(t *testing.T, f *testFleet) {
		home := f.nodes["node-00"].agent.View().Homes("bookings")[0]
		f.hosts.SetHosts([]platform.Host{{Name: home.Name(), Leaving: true}})
		f.await("the home has moved", time.Minute, func(n *testNode) bool {
			return !slices.Contains(names(n.agent.View().Homes("bookings")), home.Name())
		})
		for range 60 {
			time.Sleep(time.Second)
			qt.Assert(t, f.nodes[home.Name()].agent.Ready().Reason, qt.Equals, "leaving")
		}
	})
}

// TestConfigurationIsSentAsADelta checks that a change of a large configuration
// is sent as a delta, not as the complete text.
func TestConfigurationIsSentAsADelta(t *testing.T) {
	inFleet(t, 12, func(t *testing.T, f *testFleet) {
		var text strings.Builder
		for i := range 4000 {
			fmt.Fprintf(&text, "[target target-%d]\naddress = 10.0.%d.%d:80\n", i, mix(uint64(i))%256, mix(uint64(i)+7)%256)
		}
		f.put(2, text.String())
		f.awaitRevision(2, inForceLimit)
		time.Sleep(10 * time.Second)
		_, before := f.net.counts()
		f.put(3, text.String()+"[target one-more]\n")
		f.awaitRevision(3, inForceLimit)
		_, after := f.net.counts()
		t.Logf("%d bytes for a change in a text of %d bytes to 12 nodes", after-before, text.Len())
		qt.Assert(t, after-before < text.Len()/4, qt.IsTrue, qt.Commentf("%d bytes", after-before))
		for _, n := range f.nodes {
			_, d := n.agent.Configuration()
			qt.Assert(t, string(d.Text), qt.Equals, text.String()+"[target one-more]\n")
		}
	})
}
