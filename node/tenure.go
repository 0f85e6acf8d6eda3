package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"filbertmill.example/fleet/control"
	"filbertmill.example/once"
	"filbertmill.example/platform"
)

const (
	// tenurePrefix starts the store's keys of tenures; the service's name
	// follows.
	tenurePrefix = "tenure/"
	// tenureTimeout limits one call to the store.
	tenureTimeout = time.Second
)

var errUnknownPeer = errors.New("no member has this name")

// tenureStore is the subset of the platform's store that tenures use.
type tenureStore interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, old platform.Revision, value []byte, lease platform.LeaseID) (platform.Revision, error)
}

// member implements onceEnvironment.
func (n *Node) member() once.Member { return n.self }

// readTenure implements onceEnvironment.
func (n *Node) readTenure(service string, op once.OpID) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tenureTimeout)
		defer cancel()
		t, revision, err := loadTenure(ctx, n.tenures, service)
		n.control.send(tenureReadCommand{service: service, op: op, tenure: t, revision: revision, ok: err == nil})
	}()
}

// loadTenure reads a service's record from the store. It returns a zero Tenure
// and revision 0 if there is none.
func loadTenure(ctx context.Context, store tenureStore, service string) (once.Tenure, once.Revision, error) {
	var t once.Tenure
	e, err := store.Get(ctx, tenurePrefix+service)
	if errors.Is(err, platform.ErrNotFound) {
		return t, 0, nil
	}
	if err != nil {
		return t, 0, err
	}
	if err := json.Unmarshal(e.Value, &t); err != nil {
		return t, 0, errors.Wrapf(err, "tenure of %s", service)
	}
	return t, once.Revision(e.Revision), nil
}

// writeTenure implements onceEnvironment.
func (n *Node) writeTenure(service string, op once.OpID, t once.Tenure, after once.Revision) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tenureTimeout)
		defer cancel()
		value, err := json.Marshal(t)
		var revision platform.Revision
		if err == nil {
			revision, err = n.tenures.CompareAndSwap(ctx, tenurePrefix+service, platform.Revision(after), value, "")
		}
		n.control.send(tenureWrittenCommand{service: service, op: op, revision: once.Revision(revision), ok: err == nil})
	}()
}

// witnessCandidates implements onceEnvironment. It returns the home and the
// successors of the service without this node: first those in other
// availability zones, last those that did not respond recently.
func (n *Node) witnessCandidates(service string) (names []string, alone bool) {
	var near, far, avoided []string
	view := n.membership.agent.View()
	for _, m := range view.Homes(service) {
		switch {
		case m.Name() == n.settings.Name:
		case view.Avoids(m.Name()):
			avoided = append(avoided, m.Name())
		case m.Peer.AvailabilityZone == n.settings.AvailabilityZone:
			near = append(near, m.Name())
		default:
			far = append(far, m.Name())
		}
	}
	return append(append(far, near...), avoided...), n.alone()
}

// alone reports whether the settings name neither another node nor a host list
// in which there may be one.
func (n *Node) alone() bool {
	for _, seed := range n.settings.Seeds {
		if seed.Name != n.settings.Name {
			return false
		}
	}
	return n.settings.HostListURL == ""
}

// peerNamed returns the addresses of a member, also of one that is leaving.
func (n *Node) peerNamed(ctx context.Context, name string) (control.Peer, error) {
	for _, m := range n.membership.agent.View().Members {
		if m.Name() == name {
			return m.Peer, nil
		}
	}
	members, err := n.membership.agent.Members(ctx)
	if err != nil {
		return control.Peer{}, err
	}
	for _, m := range members {
		if m.Name() == name {
			return m.Peer, nil
		}
	}
	return control.Peer{}, errUnknownPeer
}
