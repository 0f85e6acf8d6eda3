package homes

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"filbertmill.example/gateway/balance"
	"filbertmill.example/gateway/follow"
	"filbertmill.example/gateway/replica"
)

const (
	// forwardShare is the share of a token's lifetime after which tokens that were not
	// sent with an attempt are forwarded to the home. The home can use them best while
	// it has those of all nodes.
	forwardShare = 0.5
	// permitInterval is the interval at which permits are forwarded if no retry tokens
	// are: most of the shortest lifetime of a permit is left.
	permitInterval = time.Second
	// maxForwarded limits the number of services per round, besides those with limits.
	// Each round begins with a random service, so that others follow in later rounds.
	maxForwarded = 64
)

// Run forwards fixed tokens and permits to the homes until the context ends. Fixed
// tokens are issued independently of requests; they are forwarded for the services for
// which this node rarely requests targets. The function services returns the names of
// all services.
func (c *Client) Run(ctx context.Context, services func() []string) {
	interval := time.Duration(forwardShare * float64(c.cfg.Retries.Life()))
	if interval <= 0 {
		interval = permitInterval // no second attempts are allowed
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			c.limits.prune(now, c.cfg.Listed)
			c.forward(ctx, services(), interval)
		case <-ctx.Done():
			return
		}
	}
}

// forward sends the tokens and permits that are due to the homes of their services, and
// tells all homes of the requests that crash targets.
func (c *Client) forward(ctx context.Context, services []string, interval time.Duration) {
	relays := c.cfg.Relays.Relays()
	messages := make(map[replica.Node][]balance.Contribution)
	all := make(map[replica.Node]bool)
	forwarded, first := 0, rand.IntN(len(services)+1)
	for _, name := range slices.Concat(services[first:], services[:first]) {
		homes := follow.RankHomes(name, relays)
		limited := c.limits.inForce(name)
		if len(homes) > 0 {
			all[homes[0]] = true
		}
		if len(homes) == 0 || (!limited && (forwarded >= maxForwarded || !c.tokens.due(name, interval))) {
			continue
		}
		if !limited {
			forwarded++
		}
		home := homes[0]
		clock := c.cfg.Shared.Clock()
		if home.Name != c.cfg.Self {
			clock = c.clocks.estimate(home.Name)
		}
		if clock > 0 {
			messages[home] = append(messages[home], balance.Contribution{
				Service: name, Deposit: c.tokens.issue(name, false), SentAt: clock,
				Permits: c.limits.issue(name, &c.tokens), LimitsDigest: c.limits.digest(name),
			})
		} else if messages[home] == nil {
			messages[home] = []balance.Contribution{} // the answer contains the home's clock
		}
	}
	for home, list := range messages {
		go c.sendContributions(ctx, home, list)
	}
	c.exchangeQuarantine(ctx, all)
}

// sendContributions sends tokens and permits to a home, and records the home's clock and
// the limits that it knows.
func (c *Client) sendContributions(ctx context.Context, home replica.Node, list []balance.Contribution) {
	var reply contributeReply
	if home.Name == c.cfg.Self {
		told := c.cfg.Shared.Contribute(list)
		reply.Limits, reply.Quarantine = told.Limits, told.Quarantine
	} else {
		if err := c.call(ctx, peerOf(home), kindContribute, list, &reply); err != nil {
			c.cfg.Log.Info("retry tokens and permits lost", "home", home.Name, "services", len(list), "error", err)
			return
		}
		c.clocks.record(home.Name, reply.Clock)
	}
	c.quarantine.merge(reply.Quarantine, home.Name)
	for service, entries := range reply.Limits {
		c.limits.merge(service, entries, home.Name)
	}
}
