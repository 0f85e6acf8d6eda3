package node

import (
	"net"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet/control"
)

// controlServer carries control messages of this node.
type controlServer struct {
	transport *control.Transport
	listener  net.Listener
}

// listenControl binds the control address and registers the node's handlers.
func (n *Node) listenControl() error {
	transport, err := control.New(control.Config{
		Name: n.settings.Name,
		Key:  []byte(n.settings.SharedKey),
		Seed: seedOf(n.settings.Name),
	})
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", n.settings.ControlAddress)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "listen for control"), transport.Close())
	}
	n.messages = &controlServer{transport: transport, listener: ln}
	n.connectReports(transport)
	return nil
}

// run serves until close.
func (s *controlServer) run() error { return s.transport.Serve(s.listener) }

// close ends all control connections.
func (s *controlServer) close() {
	_ = s.transport.Close()
	_ = s.listener.Close()
}
