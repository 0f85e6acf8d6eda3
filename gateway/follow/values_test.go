package follow

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/gateway/content"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

// serveCopy returns a node that serves a copy of the store as a relay, and how others
// reach it.
func serveCopy(t *testing.T, name string) (*Follower, replica.Node) {
	t.Helper()
	relay := newBareFollower(t, name, "a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = relay.cfg.Transport.Serve(l) }()
	return relay, replica.Node{Name: name, AvailabilityZone: "a", ControlAddress: l.Addr().String()}
}

func configurationItem(version, bytes int, seed uint64, revision platform.Revision) platform.Item {
	return platform.Item{Key: platform.ConfigurationKey, Value: largeConfiguration(version, bytes, seed), Revision: revision}
}

// TestNodeOfAnEarlierVersionGetsTheWholeValue guards against nodes that never get a
// configuration during a rolling update, because they do not know of announcements.
func TestNodeOfAnEarlierVersionGetsTheWholeValue(t *testing.T) {
	relay, at := serveCopy(t, "relay")
	relay.cfg.Replica.Replace("test", []platform.Item{configurationItem(1, 100<<10, 1, 5)}, 5, 0)
	node := newBareFollower(t, "node", "a")
	var reply changesReply
	qt.Assert(t, node.cfg.Transport.Call(t.Context(), peerOf(at), kindChanges, changesRequest{}, &reply), qt.IsNil)
	qt.Check(t, reply.Announced, qt.HasLen, 0)
	qt.Assert(t, reply.Changes, qt.HasLen, 1)
	qt.Check(t, len(reply.Changes[0].Value) > 90<<10, qt.IsTrue)

	reply = changesReply{}
	qt.Assert(t, node.cfg.Transport.Call(t.Context(), peerOf(at), kindChanges, changesRequest{Fetches: true}, &reply), qt.IsNil)
	qt.Check(t, reply.Changes, qt.HasLen, 0)
	qt.Check(t, reply.Announced, qt.DeepEquals, []replica.Announcement{{Key: platform.ConfigurationKey, Revision: 5}})
}

// TestValueResumesAtAnotherRelay guards against values that never arrive, because each loss
// of a relay begins them anew.
func TestValueResumesAtAnotherRelay(t *testing.T) {
	c := qt.New(t)
	first, atFirst := serveCopy(t, "first")
	second, atSecond := serveCopy(t, "second")
	item := configurationItem(1, platform.MaxValueBytes, 1, 5)
	for _, relay := range []*Follower{first, second} {
		relay.cfg.Replica.Replace("test", []platform.Item{item}, 5, 0)
	}
	served := 0
	first.cfg.Transport.Handle(kindValue, func(ctx context.Context, from string, body []byte) (any, error) {
		if served++; served == 3 {
			return nil, errUnknown
		}
		return first.serveValue(ctx, from, body)
	})
	node := newBareFollower(t, "node", "a")
	node.cfg.Replica.Merge("test", replica.Delta{Announced: []replica.Announcement{{Key: item.Key, Revision: 5}}, Through: 5})
	fetch := valueFetch{follower: node, key: item.Key, start: time.Now()}
	c.Assert(fetch.from(t.Context(), atFirst), qt.IsNotNil)
	_, offset := fetch.parts.Next()
	c.Assert(offset, qt.Equals, 2*content.PartBytes)
	c.Assert(fetch.from(t.Context(), atSecond), qt.IsNil)
	c.Check(node.cfg.Replica.View().Announced, qt.HasLen, 0)
	c.Check(node.cfg.Replica.View().Revision, qt.Equals, platform.Revision(5))
}

// TestValueIsFetchedWholeWithoutTheBase guards against a node that never gets a value,
// because the relay's older version is not the one that the node has.
func TestValueIsFetchedWholeWithoutTheBase(t *testing.T) {
	c := qt.New(t)
	relay, at := serveCopy(t, "relay")
	relay.cfg.Replica.Apply("test", []platform.Item{configurationItem(1, 50<<10, 1, 5)}, 5)
	relay.cfg.Replica.Apply("test", []platform.Item{configurationItem(2, 60<<10, 1, 6)}, 6)
	node := newBareFollower(t, "node", "a")
	// The revision is the relay's, the content is not: one of the copies is wrong.
	node.cfg.Replica.Apply("test", []platform.Item{configurationItem(1, 50<<10, 2, 5)}, 5)
	node.cfg.Replica.Merge("test", replica.Delta{Announced: []replica.Announcement{{Key: platform.ConfigurationKey, Revision: 6}}, Through: 6})
	fetch := valueFetch{follower: node, key: platform.ConfigurationKey, start: time.Now()}
	c.Check(fetch.from(t.Context(), at), qt.IsNotNil)
	c.Assert(fetch.from(t.Context(), at), qt.IsNil)
	c.Check(int64(node.cfg.Replica.View().Config.Revision), qt.Equals, int64(2))
}

// TestFetchOfARemovedKeyIsNamed guards against log lines that take the removal of a key for
// content that is damaged.
func TestFetchOfARemovedKeyIsNamed(t *testing.T) {
	relay, at := serveCopy(t, "relay")
	relay.cfg.Replica.Apply("test", []platform.Item{{Key: platform.ConfigurationKey, Revision: 6, Deleted: true}}, 6)
	node := newBareFollower(t, "node", "a")
	node.cfg.Replica.Merge("test", replica.Delta{Announced: []replica.Announcement{{Key: platform.ConfigurationKey, Revision: 5}}, Through: 5})
	fetch := valueFetch{follower: node, key: platform.ConfigurationKey, start: time.Now()}
	qt.Check(t, fetch.from(t.Context(), at), qt.ErrorIs, errRemoved)
}

// TestPollsAreHeldWhileAValueIsFetched guards against polls without a pause while a value is
// missing, as the relay's copy is younger than the node's.
func TestPollsAreHeldWhileAValueIsFetched(t *testing.T) {
	relay, at := serveCopy(t, "relay")
	relay.cfg.Transport.Handle(kindValue, func(context.Context, string, []byte) (any, error) { return nil, errUnknown })
	relay.cfg.Replica.Replace("test", []platform.Item{configurationItem(1, 100<<10, 1, 5)}, 5, 0)
	polls := 0
	relay.cfg.Transport.Handle(kindChanges, func(ctx context.Context, from string, body []byte) (any, error) {
		polls++
		relay.recordConfirmation(time.Now())
		return relay.serveChanges(ctx, from, body)
	})
	node := newBareFollower(t, "node", "a")
	ctx, cancel := context.WithTimeout(t.Context(), 5*sameZoneWait)
	defer cancel()
	qt.Assert(t, node.pollRelay(ctx, at, sameZoneWait), qt.IsNotNil)
	qt.Check(t, node.cfg.Replica.View().Announced, qt.HasLen, 1)
	qt.Check(t, polls <= 8, qt.IsTrue, qt.Commentf("%d polls in %s", polls, 5*sameZoneWait))
}

// TestLongListArrivesInParts guards against a first copy of the store that exceeds the
// largest message.
func TestLongListArrivesInParts(t *testing.T) {
	relay, at := serveCopy(t, "relay")
	var items []platform.Item
	for i := range 20_000 {
		items = append(items, listedTarget(fmt.Sprint("i-", i), fmt.Sprintf("10.%d.%d.%d:1", i>>16, i>>8&255, i&255), platform.Revision(i+1)))
	}
	relay.cfg.Replica.Replace("test", items, 20_000, 0)
	relay.recordConfirmation(time.Now())
	node := newBareFollower(t, "node", "a")
	a, err := node.poll(t.Context(), at, 0, time.Second, false)
	qt.Assert(t, err, qt.IsNil)
	node.merge(at.Name, a)
	qt.Check(t, node.cfg.Replica.View().Targets["s"], qt.HasLen, len(items))
	qt.Check(t, node.cfg.Replica.View().Checksum, qt.Equals, relay.cfg.Replica.View().Checksum)
}

// TestNodeFollowsTheStoreWhenAValueIsStuck guards against a node that waits for a value
// without end, because its relays answer but cannot send it.
func TestNodeFollowsTheStoreWhenAValueIsStuck(t *testing.T) {
	node := newBareFollower(t, "node", "a")
	node.cfg.Seeds = []string{"127.0.0.1:1"}
	announce := func(revision platform.Revision) {
		node.merge("relay", answer{
			content:     &replica.Delta{Announced: []replica.Announcement{{Key: platform.ConfigurationKey, Revision: revision}}, Through: revision},
			confirmedAt: time.Now(),
		})
	}
	announce(5)
	qt.Check(t, node.needsStore(time.Now()), qt.IsFalse)
	qt.Check(t, node.CopyAge() >= neverConfirmed, qt.IsTrue, qt.Commentf("a copy without a value is not confirmed"))
	time.Sleep(maxCopyAge + 100*time.Millisecond)
	announce(6)
	qt.Check(t, node.needsStore(time.Now()), qt.IsTrue)
	node.cfg.Replica.Apply("store", []platform.Item{configurationItem(1, 5<<10, 1, 6)}, 6)
	qt.Check(t, node.needsStore(time.Now()), qt.IsFalse)
}
