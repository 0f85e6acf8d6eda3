package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// statusTimeout limits the time to collect a report on the whole fleet.
const statusTimeout = 10 * time.Second

// handleStatus reports the members, homes and revisions of the fleet.
func (n *Node) handleStatus(_ context.Context, ctx *app.RequestContext) {
	c, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, err := n.membership.agent.Status(c)
	if err != nil {
		ctx.JSON(http.StatusServiceUnavailable, readiness{Reason: err.Error()})
		return
	}
	ctx.JSON(http.StatusOK, s)
}

// RevisionReport identifies the configuration in force on one node.
type RevisionReport struct {
	// Revision is the number of the configuration in force, which increases with
	// each change; 0 means that there is none. ChangeID identifies the change.
	Revision int64  `json:"revision"`
	ChangeID string `json:"change_id"`
}

// handleRevision reports the configuration in force on this node only.
func (n *Node) handleRevision(_ context.Context, ctx *app.RequestContext) {
	_, d := n.membership.agent.Configuration()
	ctx.JSON(http.StatusOK, RevisionReport{Revision: d.Version.Revision, ChangeID: d.Version.ChangeID})
}
