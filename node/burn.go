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

// BurnPath is where operators ask for the burn report. Its parameter service
// limits it to one service.
const BurnPath = "/burn"

// kindBurn asks a node for a page of its counts: a burn.Query, answered by a
// burn.Snapshot.
const kindBurn control.Kind = "burn"

// countBurn counts a request that this node answered to its caller. The error
// is the one that ended the passing on of the answer, or nil.
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

// retainBurn forgets the counts of services that are no longer configured.
func (n *Node) retainBurn(cfg *dynamic.Config) {
	names := make([]string, 0, len(cfg.Services))
	for i := range cfg.Services {
		names = append(names, cfg.Services[i].Name)
	}
	n.reports.burn.Retain(names)
}

// answerBurn answers another node's question.
func (n *Node) answerBurn(_ context.Context, _ string, body []byte) (any, error) {
	var q burn.Query
	if err := control.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return n.burnHere(q), nil
}

// burnHere returns a page of this node's counts.
func (n *Node) burnHere(q burn.Query) burn.Snapshot {
	s := n.reports.burn.Snapshot(time.Now(), q)
	s.Node = n.settings.Name
	return s
}

// burnOf returns all pages of another node's counts.
func (n *Node) burnOf(ctx context.Context, to control.Peer, q burn.Query) ([]burn.Snapshot, error) {
	return collectPages(q, func(q burn.Query) (burn.Snapshot, error) {
		var s burn.Snapshot
		err := n.membership.transport.Call(ctx, to, kindBurn, q, &s)
		return s, err
	})
}

// collectPages asks for page after page.
func collectPages(q burn.Query, ask func(burn.Query) (burn.Snapshot, error)) ([]burn.Snapshot, error) {
	var pages []burn.Snapshot
	for {
		s, err := ask(q)
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

// burnReport asks all nodes of the fleet for their counts and judges them.
func (n *Node) burnReport(ctx context.Context, q burn.Query) (*burn.Report, error) {
	peers, err := n.others(ctx)
	if err != nil {
		return nil, err
	}
	answers, silent := askAll(ctx, peers, func(ctx context.Context, to control.Peer) ([]burn.Snapshot, error) {
		return n.burnOf(ctx, to, q)
	})
	own, _ := collectPages(q, func(q burn.Query) (burn.Snapshot, error) { return n.burnHere(q), nil })
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

// objectives returns the objectives of the named service, or of all.
func (n *Node) objectives(service string) []burn.Objective {
	var list []burn.Objective
	for name, s := range n.routes.Load().services {
		if service == "" || service == name {
			list = append(list, burn.Objective{Service: name, Share: s.Objective, Window: s.ObjectiveWindow})
		}
	}
	return list
}

// handleBurn answers an operator.
func (n *Node) handleBurn(c context.Context, ctx *app.RequestContext) {
	report, err := n.burnReport(c, burn.Query{Service: ctx.Query("service")})
	if err != nil {
		refuseReport(ctx, http.StatusServiceUnavailable, err)
		return
	}
	ctx.JSON(http.StatusOK, report)
}
