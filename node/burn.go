package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"filbertmill.example/burn"
	"filbertmill.example/config/dynamic"
	"filbertmill.example/fleet/control"
	"filbertmill.example/node/attempt"
)

// BurnPath is the admin path of the burn report, which shows how fast the
// services use up their error budgets. The parameter service limits the report
// to one service.
const BurnPath = "/burn"

// kindBurn requests a page of a node's counts. The message is a burn.Query, the
// reply a burn.Snapshot.
const kindBurn control.Kind = "burn"

// countBurn counts a request that this node answered to its caller. err is the
// error that broke off the forwarding of the answer, or nil.
func (n *Node) countBurn(now time.Time, r *request, res result, err error) {
	reason := res.outcome.Reason
	if err != nil {
		reason = attempt.Reason(attempt.AsFailure(err))
	}
	status := 0
	if res.response != nil {
		status = res.response.StatusCode()
	}
	cause := burn.Classify(reason, status, now.After(r.deadline))
	n.reports.burn.Record(now, r.service.Name, cause)
}

// retainBurn deletes the counts of services that are no longer configured.
func (n *Node) retainBurn(cfg *dynamic.Config) {
	names := make([]string, 0, len(cfg.Services))
	for i := range cfg.Services {
		names = append(names, cfg.Services[i].Name)
	}
	n.reports.burn.Retain(names)
}

// answerBurn handles a kindBurn message.
func (n *Node) answerBurn(_ context.Context, _ string, body []byte) (any, error) {
	var q burn.Query
	if err := control.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return n.localBurn(q), nil
}

// localBurn returns a page of this node's counts.
func (n *Node) localBurn(q burn.Query) burn.Snapshot {
	s := n.reports.burn.Snapshot(time.Now(), q)
	s.Node = n.settings.Name
	return s
}

// peerBurn returns all pages of another node's counts.
func (n *Node) peerBurn(ctx context.Context, to control.Peer, q burn.Query) ([]burn.Snapshot, error) {
	return collectPages(q, func(q burn.Query) (burn.Snapshot, error) {
		var s burn.Snapshot
		err := n.membership.transport.Call(ctx, to, kindBurn, q, &s)
		return s, err
	})
}

// collectPages requests one page after another until the last.
func collectPages(q burn.Query, request func(burn.Query) (burn.Snapshot, error)) ([]burn.Snapshot, error) {
	var pages []burn.Snapshot
	for {
		s, err := request(q)
		if err != nil {
			return nil, err
		}
		pages = append(pages, s)
		if !s.More || len(s.Services) == 0 {
			return pages, nil
		}
		q.After = s.Services[len(s.Services)-1].Service
	}
}

// burnReport collects the counts of all nodes of the fleet and compares them with
// the services' objectives.
func (n *Node) burnReport(ctx context.Context, q burn.Query) (*burn.Report, error) {
	peers, err := n.otherPeers(ctx)
	if err != nil {
		return nil, err
	}
	answers, silent := callAll(ctx, peers, func(ctx context.Context, to control.Peer) ([]burn.Snapshot, error) {
		return n.peerBurn(ctx, to, q)
	})
	own, _ := collectPages(q, func(q burn.Query) (burn.Snapshot, error) { return n.localBurn(q), nil })
	answers = append(answers, own)
	var all []burn.Snapshot
	var nodes []string
	for _, pages := range answers {
		nodes = append(nodes, pages[0].Node)
		all = append(all, pages...)
	}
	report := burn.NewReport(time.Now(), n.objectives(q.Service), burn.Merge(all))
	report.Nodes = nodes
	for _, s := range silent {
		report.Silent = append(report.Silent, burn.Silent{Node: s.name, Error: s.err.Error()})
	}
	return report, nil
}

// objectives returns the objective of the named service, or those of all services
// if the name is empty.
func (n *Node) objectives(service string) []burn.Objective {
	var list []burn.Objective
	for name, s := range n.routes.Load().services {
		if service == "" || service == name {
			list = append(list, burn.Objective{Service: name, Share: s.Objective, Window: s.ObjectiveWindow})
		}
	}
	return list
}

// handleBurn answers an operator's request for the burn report.
func (n *Node) handleBurn(c context.Context, ctx *app.RequestContext) {
	report, err := n.burnReport(c, burn.Query{Service: ctx.Query("service")})
	if err != nil {
		writeReportError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	ctx.JSON(http.StatusOK, report)
}
