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
	// probeTimeout limits one request to a target's health endpoint.
	probeTimeout = time.Second
	// maxOtherZoneProbes is the most nodes of other availability zones that are
	// requested, one after another, to probe a target.
	maxOtherZoneProbes = 2
	// otherZoneProbeTimeout limits the wait for each of them.
	otherZoneProbeTimeout = probeTimeout + 250*time.Millisecond
)

// kindProbe requests that a node probes a target. The message is a probeRequest,
// the reply a probeReply.
const kindProbe control.Kind = "look"

// probeRequest names a target of the fleet configuration. It contains no address,
// so that a node sends probes to configured targets only.
type probeRequest struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
}

// probeReply is what the node observed.
type probeReply struct {
	Reachable bool          `cbor:"1,keyasint"`
	Leaving   bool          `cbor:"2,keyasint"`
	Latency   time.Duration `cbor:"3,keyasint"`
}

var errUnknownTarget = errors.New("the configuration has no such target")

// probe implements environment. If no node of another availability zone answers
// a request for a probe from there, there is no observation.
func (n *Node) probe(service, target string, at endpoint, path string, origin pool.Origin) {
	go func() {
		var o pool.Observation
		if origin == pool.OriginOtherZone {
			reply, ok := n.probeFromOtherZone(service, target)
			if !ok {
				return
			}
			o = pool.Observation{Reachable: reply.Reachable, Leaving: reply.Leaving, Latency: reply.Latency}
		} else {
			o = n.probeTarget(at, path)
		}
		o.Target = target
		o.Origin = origin
		n.control.send(observeCommand{service: service, observation: o})
	}()
}

// probeFromOtherZone has a node of another availability zone probe a target. It
// reports false if no such node answered.
func (n *Node) probeFromOtherZone(service, target string) (probeReply, bool) {
	for _, m := range n.otherZoneMembers() {
		ctx, cancel := context.WithTimeout(context.Background(), otherZoneProbeTimeout)
		var reply probeReply
		err := n.membership.transport.Call(ctx, m.Peer, kindProbe, probeRequest{Service: service, Target: target}, &reply)
		cancel()
		if err == nil {
			return reply, true
		}
	}
	return probeReply{}, false
}

// otherZoneMembers returns at most maxOtherZoneProbes members of other
// availability zones, in random order.
func (n *Node) otherZoneMembers() []fleet.Member {
	view := n.membership.agent.View()
	var list []fleet.Member
	for _, m := range view.Members {
		if m.Peer.AvailabilityZone != n.settings.AvailabilityZone && !view.Avoids(m.Name()) {
			list = append(list, m)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxOtherZoneProbes)]
}

// handleProbe handles a kindProbe message.
func (n *Node) handleProbe(_ context.Context, _ string, body []byte) (any, error) {
	var q probeRequest
	if err := control.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	at, path, ok := n.routes.Load().endpoint(q.Service, q.Target)
	if !ok {
		return nil, errUnknownTarget
	}
	o := n.probeTarget(at, path)
	return probeReply{Reachable: o.Reachable, Leaving: o.Leaving, Latency: o.Latency}, nil
}

// probeTarget sends one request to a target's health endpoint, with this node's
// name in the User-Agent, and has idle connections opened for the requests that
// may follow.
func (n *Node) probeTarget(at endpoint, path string) pool.Observation {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	req := &protocol.Request{}
	req.Header.SetMethod("GET")
	req.Header.SetHost(at.address)
	req.Header.SetRequestURI(path)
	req.Header.SetUserAgentBytes([]byte("filbertmill-probe " + n.settings.Name))
	start := time.Now()
	ans, f := n.client.Do(ctx, exchange.Call{Address: at.address, Request: req, SpareConnections: at.slots, MaxResponseBytes: replayLimit})
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
