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

// ExplainPath is the admin path of explanations of the fleet's decisions. Its
// parameters are target, request, service and since, a duration before now.
const ExplainPath = "/explain"

// kindExplain requests a node's events. The message is an event.Query, the reply
// an event.Answer.
const kindExplain control.Kind = "explain"

// maxExplained is the most events in one explanation and in one node's reply, so
// that the reply fits into a control message.
const maxExplained = 500

// emitRefusal records that this node, as the home, refused a request, unless the
// Scheduler has already recorded it. It records nothing if the caller left, since
// that is no decision of the node.
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

// localEvents returns the events that this node has recorded.
func (n *Node) localEvents(q event.Query) event.Answer {
	if q.Limit <= 0 || q.Limit > maxExplained {
		q.Limit = maxExplained
	}
	a := n.reports.ring.Find(q)
	a.Node = n.settings.Name
	return a
}

// answerExplain handles a kindExplain message.
func (n *Node) answerExplain(_ context.Context, _ string, body []byte) (any, error) {
	var q event.Query
	if err := control.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return n.localEvents(q), nil
}

// explain collects the events of all nodes of the fleet into an explanation.
func (n *Node) explain(ctx context.Context, q event.Query) (event.Explanation, error) {
	peers, err := n.otherPeers(ctx)
	if err != nil {
		return event.Explanation{}, err
	}
	answers, silent := callAll(ctx, peers, func(ctx context.Context, to control.Peer) (event.Answer, error) {
		var a event.Answer
		err := n.membership.transport.Call(ctx, to, kindExplain, q, &a)
		return a, err
	})
	answers = append(answers, n.localEvents(q))
	var missing []event.Silent
	for _, s := range silent {
		missing = append(missing, event.Silent{Node: s.name, Error: s.err.Error()})
	}
	return event.Explain(answers, missing, q.Limit), nil
}

// handleExplain answers an operator's request for an explanation.
func (n *Node) handleExplain(c context.Context, ctx *app.RequestContext) {
	q, err := parseQuery(ctx, time.Now())
	if err != nil {
		writeReportError(ctx, http.StatusBadRequest, err)
		return
	}
	x, err := n.explain(c, q)
	if err != nil {
		writeReportError(ctx, http.StatusServiceUnavailable, err)
		return
	}
	ctx.JSON(http.StatusOK, x)
}

// parseQuery parses the parameters of a request for an explanation.
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
