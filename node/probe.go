package node

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/exchange"
	"filbertmill.example/pool"
)

// probeTimeout bounds one look at a target's health endpoint.
const probeTimeout = time.Second

// probe implements environment.
func (n *Node) probe(service, target, address, path string, origin pool.Origin) {
	go func() {
		o := n.look(target, address, path)
		o.Origin = origin
		n.control.send(observeCommand{service: service, observation: o})
	}()
}

// look asks a target's health endpoint once.
func (n *Node) look(target, address, path string) pool.Observation {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	o := pool.Observation{Target: target}
	req := &protocol.Request{}
	req.Header.SetMethod("GET")
	req.Header.SetHost(address)
	req.Header.SetRequestURI(path)
	start := time.Now()
	ans, f := n.client.Do(ctx, exchange.Call{Address: address, Request: req, MaxResponseBytes: replayLimit})
	if f != nil {
		return o
	}
	_, err := readAnswerBody(ans.Body)
	o.Latency = time.Since(start)
	o.Reachable = err == nil && ans.Response.StatusCode() < 500
	o.Leaving = len(ans.Response.Header.Peek(headerTargetLeaving)) > 0
	_ = ans.Body.Close()
	return o
}
