package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// statusConcurrency bounds the nodes asked at once for a status report.
	statusConcurrency = 32
	statusTimeout     = time.Second
)

// NodeStatus is what one node reports of itself.
type NodeStatus struct {
	// Name identifies the node.
	Name string `cbor:"1,keyasint" json:"name"`
	// InForce is its configuration; Highest the newest that it heard of.
	InForce Version `cbor:"2,keyasint" json:"in_force"`
	Highest Version `cbor:"3,keyasint" json:"highest"`
	// Readiness says whether it serves.
	Readiness Readiness `cbor:"4,keyasint" json:"readiness"`
	// Watching says that it watches the store.
	Watching bool `cbor:"5,keyasint" json:"watching"`
	// Alive is the number of members that it believes alive.
	Alive int `cbor:"6,keyasint" json:"alive"`
	// Avoided are the members that did not respond to it lately.
	Avoided []string `cbor:"7,keyasint,omitempty" json:"avoided,omitempty"`
}

// MemberStatus is a member as the reporting node sees it.
type MemberStatus struct {
	// Member is the reporting node's record.
	Member Member `json:"member"`
	// State is the name of the record's state.
	State string `json:"state"`
	// Node is what the member reports of itself, nil if it does not answer.
	Node *NodeStatus `json:"node,omitempty"`
	// Lagging says that its configuration is older than the newest known.
	Lagging bool `json:"lagging,omitempty"`
}

// ServiceHome is a service or shard with its ranks.
type ServiceHome struct {
	// Service names it, Home its home and Successors the ranks that follow.
	Service    string   `json:"service"`
	Home       string   `json:"home"`
	Successors []string `json:"successors,omitempty"`
}

// Status is the state of the fleet as seen from one node.
type Status struct {
	// Reporter is the node that made the report.
	Reporter string `json:"reporter"`
	// Newest is the newest version in force anywhere.
	Newest Version `json:"newest"`
	// Members are all members that are not gone, by name.
	Members []MemberStatus `json:"members"`
	// Homes are the homes by the reporter's view, by service.
	Homes []ServiceHome `json:"homes"`
}

// Members returns all members that are not gone, suspected and leaving ones
// included. Callers must not change the list.
func (a *Agent) Members(ctx context.Context) ([]Member, error) {
	return query(ctx, a, func(time.Time) []Member {
		return a.table.inState(StateAlive, StateSuspect, StateLeaving)
	})
}

// Status asks all members for their state. It costs one call for each member.
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

// markLaggards finds the newest version and marks the members behind it.
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
