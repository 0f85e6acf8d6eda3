package node

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"filbertmill.example/burn"
	"filbertmill.example/event"
	"filbertmill.example/fleet/control"
)

// reports holds the events and counts that the node keeps for its operators.
type reports struct {
	ring *event.Ring
	burn *burn.Recorder
}

// newReports returns empty reports that keep the given number of events.
func newReports(ring int, now time.Time) *reports {
	return &reports{ring: event.NewRing(ring), burn: burn.NewRecorder(now)}
}

// connectReports registers the handlers of other nodes' requests for events and
// counts, and of the handover of counts.
func (n *Node) connectReports(t *control.Transport) {
	t.Handle(kindExplain, n.answerExplain)
	t.Handle(kindBurn, n.answerBurn)
	t.Handle(kindBurnHandover, n.handleBurnHandover)
}

// reportRoutes adds the admin routes of the reports.
func (n *Node) reportRoutes(e *server.Hertz) {
	e.GET(ExplainPath, n.handleExplain)
	e.GET(BurnPath, n.handleBurn)
}

// reportError is the body of the answer to a request for a report that is
// malformed or can't be served.
type reportError struct {
	Error string `json:"error"`
}

func writeReportError(ctx *app.RequestContext, status int, err error) {
	ctx.JSON(status, reportError{Error: err.Error()})
}
