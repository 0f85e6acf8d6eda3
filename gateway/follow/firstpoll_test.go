package follow

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"filbertmill.example/fleet/control"
	"filbertmill.example/gateway/replica"
)

// slowListener delays each connection that it accepts, as a host does that has just
// started and gets little processor time.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	time.Sleep(l.delay)
	return c, err
}

// TestRelayIsInUseSoonAfterItsStart guards against a relay that is not in use for
// seconds after its start, because it holds the first poll while nothing changes, or
// because the time to connect makes that poll expire.
func TestRelayIsInUseSoonAfterItsStart(t *testing.T) {
	for _, delay := range []time.Duration{0, 2 * pollGrace} {
		relay := newBareFollower(t, "n0", "a")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		go func() { _ = relay.cfg.Transport.Serve(slowListener{l, delay}) }()
		// The relay is up to date, and nothing will change.
		relay.cfg.Replica.Replace("test", nil, 7, 0)
		relay.recordConfirmation(time.Now())

		node := newBareFollower(t, "n1", "b")
		node.cfg.Replica.Replace("test", nil, 7, 0)
		self := replica.Node{Name: "n0", AvailabilityZone: "a", ControlAddress: l.Addr().String()}
		node.mu.Lock()
		node.startFeed(t.Context(), self)
		node.mu.Unlock()
		await(t, "the relay answers", delay+500*time.Millisecond, func() bool {
			node.mu.Lock()
			defer node.mu.Unlock()
			fd := node.feeds["n0"]
			return fd != nil && fd.answers(time.Now())
		})
	}
}

// newBareFollower returns a Follower that is not running.
func newBareFollower(t testing.TB, name, zone string) *Follower {
	t.Helper()
	transport, err := control.New(control.Config{Name: name, Key: []byte("0123456789abcdef")})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = transport.Close() })
	return New(Config{
		Replica: replica.New(hclog.NewNullLogger()), Transport: transport, Log: hclog.NewNullLogger(),
		Self: replica.Node{Name: name, AvailabilityZone: zone},
	})
}
