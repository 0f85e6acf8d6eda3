package gateway

import (
	"context"
	"expvar"
	"net"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cockroachdb/errors"

	"filbertmill.example/exchange/guard"
	"filbertmill.example/platform"
)

// MetricsPath is the path of the counters as JSON, on the readiness address.
const MetricsPath = "/debug/vars"

// readiness is the HTTP server that answers the balancer's readiness checks and
// serves the counters.
type readiness struct {
	engine *server.Hertz
}

// listenReady opens the readiness listener. The handler where answers WherePath. It calls onPanic for each recovered
// panic on one of its connections.
func listenReady(address string, ready func() bool, where app.HandlerFunc, onPanic func(value any, stack []byte)) (*readiness, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for readiness checks")
	}
	r := &readiness{engine: server.New(
		server.WithListener(guard.RetryingListener{Listener: l}),
		server.WithTransport(guard.Transport(onPanic)),
		server.WithDisablePrintRoute(true),
	)}
	r.engine.GET(platform.ReadyPath, func(_ context.Context, c *app.RequestContext) {
		if !ready() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	r.engine.GET(WherePath, where)
	r.engine.GET(MetricsPath, func(_ context.Context, c *app.RequestContext) { writeMetrics(c) })
	return r, nil
}

func (r *readiness) run() error { return r.engine.Run() }

// writeMetrics writes all published variables as one JSON object.
func writeMetrics(c *app.RequestContext) {
	c.SetContentType("application/json")
	first := true
	expvar.Do(func(kv expvar.KeyValue) {
		separator := ",\n"
		if first {
			separator = "{"
		}
		first = false
		c.WriteString(separator + "\"" + kv.Key + "\": " + kv.Value.String())
	})
	c.WriteString("}\n")
}
