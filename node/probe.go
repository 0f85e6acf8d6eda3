package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange"
	"filbertmill.example/fleet"
	"filbertmill.example/fleet/control"
	"filbertmill.example/pool"
)

const (
	// probeTimeout bounds one look at a target's health endpoint.
	probeTimeout = time.Second
	// secondViews is the most nodes of other availability zones that are asked
	// for one look, in turn.
	secondViews = 2
	// secondViewTimeout bounds the wait for each of them.
	secondViewTimeout = probeTimeout + 250*time.Millisecond
)

// kindLook asks a node to look at a target: a lookRequest, answered by a lookReply.
const kindLook control.Kind = "look"

// lookRequest names a target by the fleet configuration, so that a node looks
// at nothing else.
type lookRequest struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
}

// lookReply is what the node saw.
type lookReply struct {
	Reachable bool          `cbor:"1,keyasint"`
	Leaving   bool          `cbor:"2,keyasint"`
	Latency   time.Duration `cbor:"3,keyasint"`
}

var errUnknownTarget = errors.New("the configuration has no such target")

// probe implements environment. If no other availability zone can be asked,
// there is no second view and no observation.
func (n *Node) probe(service, target string, at endpoint, path string, origin pool.Origin) {
	go func() {
		var o pool.Observation
		if origin == pool.OriginOtherZone {
			reply, ok := n.secondView(service, target)
			if !ok {
				return
			}
			o = pool.Observation{Reachable: reply.Reachable, Leaving: reply.Leaving, Latency: reply.Latency}
		} else {
			o = n.look(at, path)
		}
		o.Target = target
		o.Origin = origin
		n.control.send(observeCommand{service: service, observation: o})
	}()
}

// secondView has a node of another availability zone look at a target.
func (n *Node) secondView(service, target string) (lookReply, bool) {
	for _, m := range n.otherZones() {
		ctx, cancel := context.WithTimeout(context.Background(), secondViewTimeout)
		var reply lookReply
		err := n.membership.transport.Call(ctx, m.Peer, kindLook, lookRequest{Service: service, Target: target}, &reply)
		cancel()
		if err == nil {
			return reply, true
		}
	}
	return lookReply{}, false
}

// otherZones returns a few members of other availability zones, in random order.
func (n *Node) otherZones() []fleet.Member {
	view := n.membership.agent.View()
	var list []fleet.Member
	for _, m := range view.Members {
		if m.Peer.AvailabilityZone != n.settings.AvailabilityZone && !view.Avoids(m.Name()) {
			list = append(list, m)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), secondViews)]
}

// answerLook looks at a target for another node.
func (n *Node) answerLook(_ context.Context, _ string, body []byte) (any, error) {
	var q lookRequest
	if err := control.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	at, path, ok := n.routes.Load().endpoint(q.Service, q.Target)
	if !ok {
		return nil, errUnknownTarget
	}
	o := n.look(at, path)
	return lookReply{Reachable: o.Reachable, Leaving: o.Leaving, Latency: o.Latency}, nil
}

// look asks a target's health endpoint once, in this node's name, and has
// connections opened for the work that may follow.
func (n *Node) look(at endpoint, path string) pool.Observation {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req := &protocol.Request{}
	req.Header.SetMethod("GET")
	req.Header.SetHost(at.address)
	req.Header.SetRequestURI(path)
	req.Header.SetUserAgentBytes([]byte("filbertmill-probe " + n.settings.Name))
	start := time.Now()
	ans, f := n.client.Do(ctx, exchange.Call{Address: at.address, Request: req, Spares: at.slots, MaxResponseBytes: replayLimit})
	if f != nil {
		return pool.Observation{}
	}
	defer ans.Body.Close()
	_, err := readAnswerBody(ans.Body)
	return pool.Observation{
		Latency:   time.Since(start),
		Reachable: err == nil && ans.Response.StatusCode() < 500,
		Leaving:   len(ans.Response.Header.Peek(headerTargetLeaving)) > 0,
	}
}
