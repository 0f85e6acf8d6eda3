package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// statusConcurrency is the largest number of nodes asked concurrently for a
	// status report.
	statusConcurrency = 32
	statusTimeout     = time.Second
)

// NodeStatus is the report of a node on itself.
type NodeStatus struct {
	// Name identifies the node.
	Name string `cbor:"1,keyasint" json:"name"`
	// InForce is the version of the node's configuration in force; Highest is
	// the newest version that it knows to exist.
	InForce Version `cbor:"2,keyasint" json:"in_force"`
	Highest Version `cbor:"3,keyasint" json:"highest"`
	// Readiness reports whether the node may serve.
	Readiness Readiness `cbor:"4,keyasint" json:"readiness"`
	// Watching is set if the node watches the store.
	Watching bool `cbor:"5,keyasint" json:"watching"`
	// Alive is the number of members that are alive in the node's view.
	Alive int `cbor:"6,keyasint" json:"alive"`
	// Avoided are the members that recently did not respond to the node.
	Avoided []string `cbor:"7,keyasint,omitempty" json:"avoided,omitempty"`
}

// MemberStatus is the status of one member in a report of another node.
type MemberStatus struct {
	// Member is the reporting node's record.
	Member Member `json:"member"`
	// State is the name of the record's state.
	State string `json:"state"`
	// Node is the member's report on itself, nil if it did not answer.
	Node *NodeStatus `json:"node,omitempty"`
	// Lagging is set if the member's configuration is older than the newest
	// known one.
	Lagging bool `json:"lagging,omitempty"`
}

// ServiceHome is the home of a service or shard, with its successors.
type ServiceHome struct {
	// Service is the name of the service or shard, Home the name of its home
	// and Successors the names of the following ranks.
	Service    string   `json:"service"`
	Home       string   `json:"home"`
	Successors []string `json:"successors,omitempty"`
}

// Status is the state of the fleet as seen from one node.
type Status struct {
	// Reporter is the node that made the report.
	Reporter string `json:"reporter"`
	// Newest is the newest version in force on any member that answered.
	Newest Version `json:"newest"`
	// Members are all members that are not gone, by name.
	Members []MemberStatus `json:"members"`
	// Homes are the homes in the reporter's view, by service.
	Homes []ServiceHome `json:"homes"`
}

// Members returns all members that are not gone, including suspected and leaving
// ones. Callers must not change the list.
func (a *Agent) Members(ctx context.Context) ([]Member, error) {
	return query(ctx, a, func(time.Time) []Member {
		return a.table.inState(StateAlive, StateSuspect, StateLeaving)
	})
}

// Status returns the state of the fleet. It makes one call to each member.
func (a *Agent) Status(ctx context.Context) (Status, error) {
	members, err := a.Members(ctx)
	if err != nil {
		return Status{}, err
	}
	s := Status{Reporter: a.cfg.Self.Name, Members: make([]MemberStatus, len(members))}
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, statusConcurrency)
	for i, m := range members {
		s.Members[i] = MemberStatus{Member: m, State: m.State.String()}
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			s.Members[i].Node = a.statusOf(ctx, m)
		})
	}
	wg.Wait()
	s.markLaggards()
	s.Homes = a.View().serviceHomes()
	return s, nil
}

// statusOf returns the report of a member on itself, nil if the member does not
// answer.
func (a *Agent) statusOf(ctx context.Context, m Member) *NodeStatus {
	if m.Name() == a.cfg.Self.Name {
		n, err := query(ctx, a, a.ownStatus)
		if err != nil {
			return nil
		}
		return &n
	}
	var n NodeStatus
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if a.cfg.Transport.Call(ctx, m.Peer, kindStatus, empty{}, &n) != nil {
		return nil
	}
	return &n
}

func (a *Agent) handleStatus(ctx context.Context, _ string, _ []byte) (any, error) {
	return query(ctx, a, a.ownStatus)
}

// ownStatus returns the report of this node on itself.
func (a *Agent) ownStatus(time.Time) NodeStatus {
	n := NodeStatus{
		Name:      a.self.Name(),
		InForce:   a.inForce.Load().document.Version,
		Highest:   a.highest,
		Readiness: a.Ready(),
		Watching:  a.watch != nil,
		Alive:     len(a.table.inState(StateAlive)),
	}
	for name := range a.avoidances.avoided() {
		n.Avoided = append(n.Avoided, name)
	}
	slices.Sort(n.Avoided)
	return n
}

// markLaggards determines the newest version in force and marks the members
// whose configuration is older.
func (s *Status) markLaggards() {
	for _, m := range s.Members {
		if m.Node != nil && m.Node.InForce.Newer(s.Newest) {
			s.Newest = m.Node.InForce
		}
	}
	for i := range s.Members {
		n := s.Members[i].Node
		s.Members[i].Lagging = n != nil && s.Newest.Newer(n.InForce)
	}
}

// serviceHomes returns the homes of the view, by service.
func (v *View) serviceHomes() []ServiceHome {
	out := make([]ServiceHome, 0, len(v.homes))
	for service, ranks := range v.homes {
		h := ServiceHome{Service: service, Home: ranks[0].Name()}
		for _, m := range ranks[1:] {
			h.Successors = append(h.Successors, m.Name())
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(x, y ServiceHome) int { return strings.Compare(x.Service, y.Service) })
	return out
}
