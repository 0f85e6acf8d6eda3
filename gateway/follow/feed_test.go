package follow

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

// listedTarget returns the entry of a target of the service "s".
func listedTarget(id, address string, at platform.Revision) platform.Item {
	value := `{"address":"` + address + `","born":1,"info":{"service":"s","slots":2},"status":{"state":"ready"}}`
	return platform.Item{Key: platform.TargetPrefix + id, Value: []byte(value), Revision: at}
}

// TestLastNoticeOfARelayIsNoContent guards against nodes that lose targets, or miss a
// change for good, by the answer of a relay that shuts down, which leaves the changes out
// because only a notice was asked for.
func TestLastNoticeOfARelayIsNoContent(t *testing.T) {
	a, b := listedTarget("a", "10.0.0.1:1", 3), listedTarget("b", "10.0.0.2:1", 5)
	for name, change := range map[string]func(relay *replica.Replica){
		"the relay has read the store anew": func(r *replica.Replica) { r.Replace("test", []platform.Item{a, b}, 7, 0) },
		"the relay has seen one change":     func(r *replica.Replica) { r.Apply("test", []platform.Item{b}, 7) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			relay := newBareFollower(t, "relay", "b")
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			go func() { _ = relay.cfg.Transport.Serve(l) }()
			node := newBareFollower(t, "node", "a")
			for _, f := range []*Follower{relay, node} {
				f.cfg.Replica.Replace("test", []platform.Item{a}, 4, 0)
				f.recordConfirmation(time.Now())
			}
			// Another relay, of the node's own zone, sends the changes.
			near := replica.Node{Name: "near", AvailabilityZone: "a"}
			node.feeds["near"] = &feed{node: near, wait: time.Hour, lastAnswer: time.Now()}
			ended := make(chan error, 1)
			peer := replica.Node{Name: "relay", AvailabilityZone: "b", ControlAddress: l.Addr().String()}
			go func() { ended <- node.pollRelay(t.Context(), peer, otherZoneWait) }()
			time.Sleep(ageCheckInterval)

			relay.Leave()
			change(relay.cfg.Replica)
			c.Assert(<-ended, qt.Equals, errLeaving)
			view := node.cfg.Replica.View()
			c.Check(view.Targets["s"], qt.HasLen, 1, qt.Commentf("the node's copy is whole up to revision %d", view.Revision))
			c.Check(view.Revision, qt.Equals, platform.Revision(4), qt.Commentf("the changes up to 7 have not arrived"))
			change(node.cfg.Replica)
			c.Check(node.cfg.Replica.View().Targets["s"], qt.HasLen, 2, qt.Commentf("they arrive from the other relay"))
		})
	}
}

// TestRelayWithoutACopyConfirmsNothing guards against a node that takes its copy for
// current by an answer that says nothing, as that of a relay of another version, and
// doesn't read the store.
func TestRelayWithoutACopyConfirmsNothing(t *testing.T) {
	relay := serveRelay(t, func(context.Context, changesRequest) changesReply { return changesReply{} })
	f := newBareFollower(t, "n1", "b")
	ctx, cancel := context.WithTimeout(t.Context(), 3*seedTimeout)
	defer cancel()
	_ = f.pollRelay(ctx, relay, sameZoneWait)
	qt.Check(t, f.CopyAge() >= neverConfirmed, qt.IsTrue, qt.Commentf("%s", f.CopyAge()))
}
