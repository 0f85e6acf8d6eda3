package node

import (
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"filbertmill.example/burn"
	"filbertmill.example/event"
	"filbertmill.example/fleet/control"
)

// reports holds what the node remembers for its operators.
type reports struct {
	ring  *event.Ring
	burn  *burn.Recorder
	asker asker
}

// newReports returns empty reports that keep the given number of events.
func newReports(ring int, now time.Time) *reports {
	return &reports{ring: event.NewRing(ring), burn: burn.NewRecorder(now)}
}

// connectReports lets other nodes ask this one and this one ask others. It
// must be called before the node serves.
func (n *Node) connectReports(t *control.Transport) {
	n.reports.asker = t
	t.Handle(kindExplain, n.answerExplain)
	t.Handle(kindBurn, n.answerBurn)
}

// reportRoutes adds the reports to what operators may ask.
func (n *Node) reportRoutes(e *server.Hertz) {
	e.GET(ExplainPath, n.handleExplain)
	e.GET(BurnPath, n.handleBurn)
}

// badQuery answers a question that can't be understood.
type badQuery struct {
	Error string `json:"error"`
}

func refuseQuery(ctx *app.RequestContext, err error) {
	ctx.JSON(http.StatusBadRequest, badQuery{Error: err.Error()})
}
