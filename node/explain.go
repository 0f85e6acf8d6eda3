package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cockroachdb/errors"

	"filbertmill.example/event"
	"filbertmill.example/fleet/control"
	"filbertmill.example/outcome"
)

// ExplainPath is where operators ask for explanations. Its parameters are
// target, request, service and since, a duration before now.
const ExplainPath = "/explain"

// kindExplain asks a node for its events: an event.Query, answered by an
// event.Answer.
const kindExplain control.Kind = "explain"

// maxExplained is the most events in one explanation and in one node's answer,
// so that the answer stays within the size of a control message.
const maxExplained = 500

// emitRefusal records that this node, as the home, gave a request up, unless
// the Scheduler has recorded it. A caller that left is no decision of the node.
func (n *Node) emitRefusal(r *request, g grant) {
	if g.explained || g.refusal.Reason == outcome.ReasonCallerLeft {
		return
	}
	e := event.Event{
		Time:     time.Now(),
		Kind:     event.KindRefusal,
		Service:  r.service.Name,
		Request:  r.id,
		Rule:     string(g.refusal.Reason),
		Evidence: event.Evidence{Wait: g.refusal.RetryAfter},
	}
	n.Emit(e)
}

// explainHere returns what this node has recorded.
func (n *Node) explainHere(q event.Query) event.Answer {
	if q.Limit <= 0 || q.Limit > maxExplained {
		q.Limit = maxExplained
	}
	a := n.reports.ring.Find(q)
	a.Node = n.settings.Name
	return a
}

// answerExplain answers another node's question.
func (n *Node) answerExplain(_ context.Context, _ string, body []byte) (any, error) {
	var q event.Query
	if err := control.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return n.explainHere(q), nil
}

// explain asks all nodes of the fleet.
func (n *Node) explain(ctx context.Context, q event.Query) (event.Explanation, error) {
	peers, err := n.others(ctx)
	if err != nil {
		return event.Explanation{}, err
	}
	answers, silent := askAll(ctx, peers, func(ctx context.Context, to control.Peer) (event.Answer, error) {
		var a event.Answer
		err := n.membership.transport.Call(ctx, to, kindExplain, q, &a)
		return a, err
	})
	answers = append(answers, n.explainHere(q))
	var missing []event.Silent
	for _, s := range silent {
		missing = append(missing, event.Silent{Node: s.name, Error: s.err.Error()})
	}
	return event.Explain(answers, missing, q.Limit), nil
}

// handleExplain answers an operator.
func (n *Node) handleExplain(c context.Context, ctx *app.RequestContext) {
	q, err := parseQuery(ctx, time.Now())
	if err != nil {
		refuseReport(ctx, http.StatusBadRequest, err)
		return
	}
	x, err := n.explain(c, q)
	if err != nil {
		refuseReport(ctx, http.StatusServiceUnavailable, err)
		return
	}
	ctx.JSON(http.StatusOK, x)
}

// parseQuery reads the parameters of a question.
func parseQuery(ctx *app.RequestContext, now time.Time) (event.Query, error) {
	q := event.Query{
		Target:  ctx.Query("target"),
		Request: ctx.Query("request"),
		Service: ctx.Query("service"),
		Limit:   maxExplained,
	}
	text := ctx.Query("since")
	if text == "" {
		return q, nil
	}
	since, err := time.ParseDuration(text)
	if err != nil || since <= 0 {
		return q, errors.Newf("since: %q is not a duration such as 10m", text)
	}
	q.Since = now.Add(-since)
	return q, nil
}
