package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/ingress"
	"filbertmill.example/gateway/quota"
	"filbertmill.example/outcome"
	"filbertmill.example/platform"
	"filbertmill.example/pool"
)

// WherePath is the path, on the readiness address, that tells where a request would go. The
// query has its host, path and method; a key is sent as callers send it.
const WherePath = "/debug/where"

// Where is where a request would go now, and why. Nothing is sent.
type Where struct {
	Node      string           `json:"node"`
	Version   dynamic.Revision `json:"version,omitempty"`
	CopyAgeMS int64            `json:"copy_age_ms"`
	// Refused is why the node would refuse the request by itself.
	Refused    outcome.Reason `json:"refused,omitempty"`
	Route      string         `json:"route,omitempty"`
	Idempotent bool           `json:"idempotent"`
	Priority   int            `json:"priority"`
	// Workspace is that of the key, with its quota if it has one, which QuotaHome keeps.
	Workspace string       `json:"workspace,omitempty"`
	Quota     *quota.Limit `json:"quota,omitempty"`
	QuotaHome string       `json:"quota_home,omitempty"`
	// Services are those that may get it, by their weights.
	Services []WhereService `json:"services,omitempty"`
}

// WhereService is what would become of the request at one service.
type WhereService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
	// Home is the node that would choose the target; empty if this node would.
	Home     string           `json:"home,omitempty"`
	Decision pool.Explanation `json:"decision"`
}

// where returns where a request would go.
func (n *Node) where(ctx context.Context, in *ingress.Request) Where {
	view, age := n.replica.View(), n.follower.CopyAge()
	w := Where{Node: n.settings.Name, CopyAgeMS: age.Milliseconds()}
	if n.refusing.Load() {
		w.Refused = outcome.ReasonShutdown
		return w
	}
	r, refusal := newRequest(view, age, &splitter{}, in)
	if r == nil {
		w.Refused = refusal.outcome.Reason
		return w
	}
	w.Version, w.Route, w.Idempotent, w.Priority = r.version, r.route.Name, r.idempotent, r.priority
	if r.workspace != nil {
		w.Workspace = r.workspace.Name
		if limit, limited := n.quotaOf(w.Workspace); limited {
			w.Quota, w.QuotaHome = &limit, n.quotas.Home(w.Workspace)
		}
	}
	for _, share := range sharesOf(r.route) {
		r.service = share.Service
		s := WhereService{Service: share.Service, Weight: share.Weight}
		s.Decision, s.Home = n.homes.Explain(ctx, n.newAttempt(r, attemptPlan{kind: balance.FirstAttempt}))
		w.Services = append(w.Services, s)
	}
	return w
}

// sharesOf returns the services of a route.
func sharesOf(route *dynamic.Route) []dynamic.Share {
	if len(route.Split) > 0 {
		return route.Split
	}
	return []dynamic.Share{{Service: route.Service, Weight: 1}}
}

// serveWhere answers a question on WherePath.
func (n *Node) serveWhere(ctx context.Context, c *app.RequestContext) {
	r := &protocol.Request{}
	r.Header.SetMethod(c.DefaultQuery("method", http.MethodGet))
	r.Header.SetHost(c.Query("host"))
	r.Header.SetRequestURI(c.Query("path"))
	for _, key := range c.Request.Header.PeekAll(platform.HeaderKey) {
		r.Header.Add(platform.HeaderKey, string(key))
	}
	text, err := json.MarshalIndent(n.where(ctx, &ingress.Request{Request: r, Received: time.Now()}), "", "  ")
	if err != nil {
		c.String(http.StatusInternalServerError, err.Error())
		return
	}
	c.Data(http.StatusOK, "application/json", append(text, '\n'))
}
