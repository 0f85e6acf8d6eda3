package node

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// ClaimsPath is where operators ask a node for its part in the claims of keyed
// requests.
const ClaimsPath = "/claims"

// ClaimsStatus is a node's part in the claims of one service.
type ClaimsStatus struct {
	// Service is the service's name.
	Service string `json:"service"`
	// Phase is how far the node is as the service's home, for example
	// "active"; empty if it never was one.
	Phase string `json:"phase,omitempty"`
	// Keys is the number of keys that it remembers as the home.
	Keys int `json:"keys"`
	// WitnessedKeys is the number of keys that it holds as a witness, and
	// WitnessedEnds how many of them ended with an answer.
	WitnessedKeys int `json:"witnessed_keys"`
	WitnessedEnds int `json:"witnessed_ends"`
}

// claimsCommand asks for the state of all claims.
type claimsCommand struct {
	reply chan<- []ClaimsStatus
}

func (m claimsCommand) apply(c *controlLoop, _ time.Time) {
	all := make(map[string]*ClaimsStatus)
	of := func(service string) *ClaimsStatus {
		if all[service] == nil {
			all[service] = &ClaimsStatus{Service: service}
		}
		return all[service]
	}
	for name, s := range c.once.homes {
		of(name).Phase = s.home.Phase()
		of(name).Keys = s.home.Len()
	}
	for name, w := range c.once.witnesses {
		of(name).WitnessedKeys = w.Len()
		of(name).WitnessedEnds = w.Ended()
	}
	list := make([]ClaimsStatus, 0, len(all))
	for _, s := range all {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b ClaimsStatus) int { return cmp.Compare(a.Service, b.Service) })
	m.reply <- list
}

// handleClaims answers an operator.
func (n *Node) handleClaims(c context.Context, ctx *app.RequestContext) {
	reply := make(chan []ClaimsStatus, 1)
	if !n.control.send(claimsCommand{reply: reply}) {
		ctx.JSON(http.StatusServiceUnavailable, readiness{Reason: "stopped"})
		return
	}
	select {
	case list := <-reply:
		ctx.JSON(http.StatusOK, list)
	case <-c.Done():
	case <-n.control.done:
		ctx.JSON(http.StatusServiceUnavailable, readiness{Reason: "stopped"})
	}
}
