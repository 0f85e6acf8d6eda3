package node

import (
	"context"
	"expvar"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"

	"filbertmill.example/pool"
)

// readiness is the body of the readiness and liveness answers.
type readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// adminRoutes adds the routes for operators and for the platform's balancer.
func (n *Node) adminRoutes(e *server.Hertz) {
	n.stats.publish(func() any { return n.membership.transport.Counters() }, func() any { return n.limits.usage() })
	e.GET("/livez", func(_ context.Context, ctx *app.RequestContext) {
		ctx.JSON(http.StatusOK, readiness{Ready: n.ready.Load()})
	})
	e.GET("/readyz", n.handleReady)
	e.GET("/pools", n.handlePools)
	e.GET("/status", n.handleStatus)
	e.GET("/revision", n.handleRevision)
	n.reportRoutes(e)
	n.poisonRoutes(e)
	e.GET(ClaimsPath, n.handleClaims)
	e.GET("/debug/vars", adaptor.HertzHandler(expvar.Handler()))
}

// handleReady answers the balancer, which sends requests only to nodes that
// report ready.
func (n *Node) handleReady(_ context.Context, ctx *app.RequestContext) {
	fleet := n.membership.agent.Ready()
	switch {
	case n.draining.Load():
		ctx.JSON(http.StatusServiceUnavailable, readiness{Reason: "draining"})
	case !n.ready.Load():
		ctx.JSON(http.StatusServiceUnavailable, readiness{Reason: "starting"})
	case !fleet.Ready:
		ctx.JSON(http.StatusServiceUnavailable, readiness{Reason: fleet.Reason})
	default:
		ctx.JSON(http.StatusOK, readiness{Ready: true})
	}
}

// handlePools reports the pools of the services whose home this node is or was.
func (n *Node) handlePools(_ context.Context, ctx *app.RequestContext) {
	reply := make(chan []pool.Snapshot, 1)
	if !n.control.send(snapshotCommand{reply: reply}) {
		ctx.JSON(http.StatusServiceUnavailable, readiness{Reason: "stopped"})
		return
	}
	select {
	case list := <-reply:
		ctx.JSON(http.StatusOK, list)
	case <-n.control.done:
		ctx.JSON(http.StatusServiceUnavailable, readiness{Reason: "stopped"})
	}
}
