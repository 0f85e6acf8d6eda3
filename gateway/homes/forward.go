package homes

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"filbertmill.example/gateway/follow"
	"filbertmill.example/gateway/replica"
)

const (
	// forwardShare is the share of a token's lifetime after which tokens that were not
	// sent with an attempt are forwarded to the home. The home can use them best while
	// it has those of all nodes.
	forwardShare = 0.5
	// maxForwarded limits the number of services per round. Each round begins with a
	// random service, so that other services follow in later rounds.
	maxForwarded = 64
)

// Run forwards fixed tokens to the homes until the context ends. Fixed tokens are
// issued independently of requests; they are forwarded for the services for which
// this node rarely requests targets. The function services returns the names of all
// services.
func (c *Client) Run(ctx context.Context, services func() []string) {
	interval := time.Duration(forwardShare * float64(c.cfg.Retries.Life()))
	if interval <= 0 {
		return // no second attempts are allowed
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.forwardTokens(ctx, services(), interval)
		case <-ctx.Done():
			return
		}
	}
}

// forwardTokens sends the tokens that are due to the homes of their services.
func (c *Client) forwardTokens(ctx context.Context, services []string, interval time.Duration) {
	relays := c.cfg.Relays.Relays()
	deposits := make(map[replica.Node][]serviceDeposit)
	forwarded, first := 0, rand.IntN(len(services)+1)
	for _, name := range slices.Concat(services[first:], services[:first]) {
		homes := follow.RankHomes(name, relays)
		if len(homes) == 0 || forwarded >= maxForwarded || !c.tokens.due(name, interval) {
			continue
		}
		forwarded++
		home := homes[0]
		if home.Name == c.cfg.Self {
			c.cfg.Shared.Deposit(name, c.tokens.issue(name, false), c.cfg.Shared.Clock())
			continue
		}
		if clock := c.clocks.estimate(home.Name); clock > 0 {
			deposits[home] = append(deposits[home], serviceDeposit{name, c.tokens.issue(name, false), clock})
		} else if deposits[home] == nil {
			deposits[home] = []serviceDeposit{} // the answer contains the home's clock
		}
	}
	for home, list := range deposits {
		go c.sendDeposits(ctx, home, list)
	}
}

// sendDeposits sends deposits to a home and records the home's clock from the answer.
func (c *Client) sendDeposits(ctx context.Context, home replica.Node, list []serviceDeposit) {
	var clock time.Duration
	if err := c.call(ctx, peerOf(home), kindTokens, list, &clock); err != nil {
		c.cfg.Log.Info("retry tokens lost", "home", home.Name, "services", len(list), "error", err)
		return
	}
	c.clocks.record(home.Name, clock)
}
