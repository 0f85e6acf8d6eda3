package node

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/ut"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"filbertmill.example/config/dynamic"
	"filbertmill.example/outcome"
)

// handleCaller serves a request from a caller.
func (n *Node) handleCaller(c context.Context, ctx *app.RequestContext) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	id := requestID(ctx)
	r, refusal := n.accept(ctx, id)
	if refusal != nil {
		n.respond(ctx, id, *refusal, callerSide)
		return
	}
	c, cancel := context.WithDeadline(c, r.deadline)
	res := n.serve(c, r)
	n.respond(ctx, id, res, callerSide)
	release(ctx, res, cancel)
}
