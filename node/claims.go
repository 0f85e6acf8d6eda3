package node

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// ClaimsPath is the admin path that reports which claims of keyed requests a
// node holds.
const ClaimsPath = "/claims"

// ClaimsStatus describes the claims of one service that a node holds.
type ClaimsStatus struct {
	// Service is the service's name.
	Service string `json:"service"`
	// Phase is the state of the node as the service's home, for example
	// "active". It is empty if the node never was the home.
	Phase string `json:"phase,omitempty"`
	// Keys is the number of keys whose claims the node holds as the home.
	Keys int `json:"keys"`
	// WitnessedKeys is the number of keys whose claims the node holds as a
	// witness. WitnessedEnds is the number of them whose requests ended with an
	// answer.
	WitnessedKeys int `json:"witnessed_keys"`
	WitnessedEnds int `json:"witnessed_ends"`
}

// claimsCommand requests the status of all claims.
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

// handleClaims answers an operator's request for the status of all claims.
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
