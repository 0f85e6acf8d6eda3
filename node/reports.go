package node

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"filbertmill.example/burn"
	"filbertmill.example/event"
	"filbertmill.example/fleet/control"
)

// reports holds what the node remembers for its operators.
type reports struct {
	ring *event.Ring
	burn *burn.Recorder
}

// newReports returns empty reports that keep the given number of events.
func newReports(ring int, now time.Time) *reports {
	return &reports{ring: event.NewRing(ring), burn: burn.NewRecorder(now)}
}

// connectReports lets other nodes ask this one and hand their counts over.
func (n *Node) connectReports(t *control.Transport) {
	t.Handle(kindExplain, n.answerExplain)
	t.Handle(kindBurn, n.answerBurn)
	t.Handle(kindBurnHandover, n.absorbBurn)
}

// reportRoutes adds the reports to what operators may ask.
func (n *Node) reportRoutes(e *server.Hertz) {
	e.GET(ExplainPath, n.handleExplain)
	e.GET(BurnPath, n.handleBurn)
}

// noReport answers a question that can't be understood or answered.
type noReport struct {
	Error string `json:"error"`
}

func refuseReport(ctx *app.RequestContext, status int, err error) {
	ctx.JSON(status, noReport{Error: err.Error()})
}
