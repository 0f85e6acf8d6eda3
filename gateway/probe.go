package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/exchange"
	"filbertmill.example/platform"
	"filbertmill.example/pool"
)

// probeTimeout bounds one health check.
const probeTimeout = time.Second

// probe asks a target for its health and reports the answer to the Loop.
func (n *Node) probe(service, name string) {
	view := n.replica.View()
	t, ok := view.Target(service, name)
	svc := view.Service(service)
	if !ok || svc == nil {
		return
	}
	go func() {
		o := n.check(t, svc.ProbePath)
		n.log.Info("target probed", "target", t.ID, "service", service, "reachable", o.Reachable, "latency_ms", o.Latency.Milliseconds())
		n.shared.Observe(service, o)
	}()
}

// check runs one health check.
func (n *Node) check(t platform.Target, path string) pool.Observation {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r := &protocol.Request{}
	r.SetMethod("GET")
	r.SetRequestURI(path)
	r.SetHost(t.Address)
	o := pool.Observation{Target: t.Name(), Origin: pool.OriginHome}
	start := time.Now()
	ans, f := n.probes.Do(ctx, exchange.Call{Address: t.Address, Request: r})
	if f != nil {
		return o
	}
	_, err := io.Copy(io.Discard, ans.Body)
	_ = ans.Body.Close()
	o.Latency = time.Since(start)
	id := string(ans.Response.Header.Peek(platform.HeaderTargetID))
	o.Reachable = err == nil && ans.Response.StatusCode() == 200 && (id == "" || id == t.ID)
	return o
}
