package follow

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"filbertmill.example/gateway/content"
	"filbertmill.example/gateway/replica"
	"filbertmill.example/platform"
)

// FuzzReplyOfARelay guards against replies of a relay, of whatever version or fault, that
// end the process, or bring an older configuration into force.
func FuzzReplyOfARelay(f *testing.F) {
	a := listedTarget("a", "10.0.0.1:1", 7)
	for _, reply := range []changesReply{
		{},
		{Changes: []platform.Item{a}, Through: 7, Snapshot: true, Age: time.Second},
		{Changes: []platform.Item{{Key: a.Key, Revision: 9, Deleted: true}}, Through: 9, Lapsed: map[string]time.Duration{a.Key: time.Second}},
		{Changes: []platform.Item{{Key: platform.ConfigurationKey, Value: []byte(`{"version":"00000001"}`), Revision: 9}}, Through: 9},
		{Through: 9, Age: -time.Hour},
		{Through: 9, Held: -time.Hour, Unbroken: -time.Hour},
		{Through: 9, Announced: []replica.Announcement{{Key: platform.ConfigurationKey, Revision: 9}}, Snapshot: true},
		{Through: 9, List: content.Part{ID: 1, Bytes: []byte{1}, Size: 1}},
		{Through: 9, Leaving: true, Notice: true, Differs: true, Held: time.Second, Unbroken: time.Hour},
	} {
		data, err := cbor.Marshal(reply)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data, false)
		f.Add(data, true)
	}
	var body atomic.Pointer[[]byte]
	transport := newBareFollower(f, "relay", "b").cfg.Transport
	transport.Handle(kindChanges, func(context.Context, string, []byte) (any, error) { return cbor.RawMessage(*body.Load()), nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(f, err, qt.IsNil)
	go func() { _ = transport.Serve(l) }()
	relay := replica.Node{Name: "relay", AvailabilityZone: "b", ControlAddress: l.Addr().String()}
	node := newBareFollower(f, "node", "a")

	f.Fuzz(func(t *testing.T, data []byte, notice bool) {
		body.Store(&data)
		node.cfg.Replica.Apply("test", []platform.Item{
			{Key: platform.ConfigurationKey, Value: []byte(`{"version":"00000005"}`), Revision: 5},
		}, 5)
		before := node.cfg.Replica.View()
		answer, err := node.poll(t.Context(), relay, 0, time.Second, notice)
		if err != nil {
			return
		}
		node.merge("relay", answer)
		qt.Check(t, node.CopyAge() >= 0, qt.IsTrue, qt.Commentf("confirmed in %s", -node.CopyAge()))
		after := node.cfg.Replica.View()
		qt.Check(t, after.Config.Revision >= before.Config.Revision, qt.IsTrue)
		qt.Check(t, after.Revision >= before.Revision, qt.IsTrue)
		if notice {
			qt.Check(t, after.Revision, qt.Equals, before.Revision)
		}
	})
}
